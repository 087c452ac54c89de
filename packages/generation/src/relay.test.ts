import { expect } from 'chai';
import fc from 'fast-check';
import type { RelayEvent, RelayState as State } from './relay.js';
import { RelayState, maxRestarts, maxResumesWithoutProgress, stepRelay } from './relay.js';

const run = (state: State, events: readonly RelayEvent[]): readonly string[] => {
  const actions: string[] = [];
  let current = state;
  for (const event of events) {
    const step = stepRelay(current, event);
    current = step.state;
    if (step.action !== undefined) {
      const { action } = step;
      actions.push(
        action.kind === 'forward'
          ? action.line
          : action.kind === 'fail'
            ? `fail ${action.failure.kind}`
            : action.kind,
      );
    }
  }
  return actions;
};

const chunk = (index: number, generation = 'g'): RelayEvent => ({
  kind: 'chunk',
  generation,
  index,
  line: `${generation}${index}`,
});
const engineLost: RelayEvent = { kind: 'engine-lost', detail: 'killed' };
const end = (tokens: number, generation = 'g'): RelayEvent => ({ kind: 'end', generation, tokens });

describe('relay of one generation', () => {
  it('drops a repeated chunk and resumes at a missing one', () => {
    const actions = run(RelayState.create('g', false), [
      chunk(0),
      chunk(0),
      chunk(2),
      chunk(3),
      { kind: 'resumed' },
      chunk(1),
      chunk(2),
      end(3),
    ]);
    expect(actions).to.deep.equal(['g0', 'resume', 'g1', 'g2', 'end']);
  });

  it('never forwards a chunk of another generation', () => {
    expect(run(RelayState.create('g', true), [chunk(0), chunk(1, 'x')])).to.deep.equal([
      'g0',
      'resume',
    ]);
  });

  it('resumes if the end counts tokens that did not arrive', () => {
    expect(run(RelayState.create('g', false), [chunk(0), end(2)])).to.deep.equal(['g0', 'resume']);
  });

  it('restarts without telling the caller while it has no token, at most twice', () => {
    const restarted: RelayEvent = { kind: 'restarted', generation: 'h' };
    const events = Array.from({ length: maxRestarts }, () => [engineLost, restarted]).flat();
    expect(run(RelayState.create('g', false), [...events, engineLost])).to.deep.equal([
      'restart',
      'restart',
      'fail generation-lost',
    ]);
  });

  it('fails a lost generation once the caller has a token, unless the request allows a restart', () => {
    expect(run(RelayState.create('g', false), [chunk(0), engineLost])).to.deep.equal([
      'g0',
      'fail generation-lost',
    ]);
    const restarted: RelayEvent = { kind: 'restarted', generation: 'h' };
    expect(
      run(RelayState.create('g', true), [
        chunk(0),
        engineLost,
        restarted,
        chunk(0, 'h'),
        end(1, 'h'),
      ]),
    ).to.deep.equal(['g0', 'restart', 'announce-restart', 'h0', 'end']);
  });

  it('stops resuming after too many attempts without a token', () => {
    const cuts = Array.from({ length: maxResumesWithoutProgress + 1 }, () => ({
      kind: 'cut' as const,
    }));
    expect(run(RelayState.createResumed('g', 3), cuts).at(-1)).to.equal('fail generation-lost');
  });

  it('forwards each token once and in order for any sequence of engine events', () => {
    const anyEvent = fc.oneof(
      { weight: 6, arbitrary: fc.nat(6).map((index) => chunk(index)) },
      fc.constant(chunk(0, 'x')),
      fc.constant<RelayEvent>({ kind: 'cut' }),
      fc.constant<RelayEvent>({ kind: 'resumed' }),
      fc.nat(6).map((tokens) => end(tokens)),
    );
    fc.assert(
      fc.property(fc.array(anyEvent, { maxLength: 60 }), (events) => {
        const tokens = run(RelayState.create('g', false), events).filter((action) =>
          /^[gx]\d/.test(action),
        );
        expect(tokens).to.deep.equal(tokens.map((_, index) => `g${index}`));
      }),
      { seed: 41, numRuns: 300 },
    );
  });
});
