import { VirtualClock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { Upstream } from '@zinniagrade/serving';
import { expect } from 'chai';
import { Left, Right, type Either } from 'purify-ts';
import { Log } from './log.js';
import { awaitRunEnd, type RunEnd } from './run-end.js';
import type { CopyOutcome } from './upstream-client.js';

const createUpstream = (id: string): Upstream => ({
  id,
  service: 'text',
  address: `${id}:1`,
  dataCentre: 'a',
  version: 'v1',
  slots: 8,
  state: 'ready',
  coldLeftMs: 0,
});

const failure = Failure.create('upstream-unreachable', 'no reply');
const noReply: CopyOutcome = { outcome: 'unreachable', failure, processEnded: false };
const copy = { reference: 'e1:1/h1' };
const stepMs = 10;
const maxWaitMs = 600;

interface Engine {
  /** Reply to the call that stops the run; undefined if none comes. */
  readonly stopped: (call: number) => CopyOutcome | undefined;
  readonly list: (call: number) => Either<Failure, readonly string[]>;
  /** Age of the run's first event at the first call. */
  readonly begunForMs?: number;
}

/** Returns the end of a run, the time that it took to learn of it, and the copies that were freed. */
const endAt = async (engine: Engine): Promise<readonly [RunEnd, number, readonly string[]]> => {
  const clock = VirtualClock.create();
  clock.advance(10_000);
  const startMs = clock.monotonicMs();
  const dropped: string[] = [];
  let stops = 0;
  let lists = 0;
  let end: RunEnd | undefined;
  void awaitRunEnd(
    {
      clock,
      log: Log.createSilent(),
      client: {
        copyRun: () => {
          stops += 1;
          const outcome = engine.stopped(stops);
          return outcome === undefined ? new Promise(() => undefined) : Promise.resolve(outcome);
        },
        listRuns: () => {
          lists += 1;
          return Promise.resolve(engine.list(lists));
        },
        dropCopy: (_source, { reference }) => {
          dropped.push(reference);
        },
      },
    },
    {
      upstream: createUpstream('e1'),
      requestId: 'r1',
      begunAtMs: startMs - (engine.begunForMs ?? 5000),
      target: createUpstream('e2'),
      movable: true,
      maxWaitMs,
    },
  ).then((result) => (end = result));
  for (;;) {
    await new Promise((resolve) => setImmediate(resolve));
    if (end !== undefined) {
      return [end, clock.monotonicMs() - startMs, dropped];
    }
    clock.advance(stepMs);
  }
};

const unreadable = (): Either<Failure, readonly string[]> => Left(failure);

describe('end of a run', () => {
  it('is known at once from the reply to the stop', async () => {
    // Guards against a pause of a stream that moves away from a sound engine.
    const noRun: CopyOutcome = { outcome: 'no-such-run' };
    const ended: CopyOutcome = { outcome: 'unreachable', failure, processEnded: true };
    for (const stopped of [noRun, ended]) {
      const result = await endAt({ stopped: () => stopped, list: unreadable });
      expect(result).to.deep.equal([{ kind: 'ended' }, 0, []]);
    }
    const copied: CopyOutcome = { outcome: 'copied', copy, events: 7 };
    const [end] = await endAt({ stopped: () => copied, list: unreadable });
    expect(end).to.deep.equal({ kind: 'ended', copy });
  });

  it('frees the copy that a stopped run left at its own engine', async () => {
    // Guards against memory that stays taken at an engine until the copy expires.
    const noRoom: CopyOutcome = { outcome: 'no-room', copy };
    const [end, , dropped] = await endAt({ stopped: () => noRoom, list: unreadable });
    expect(end).to.deep.equal({ kind: 'ended' });
    expect(dropped).to.deep.equal([copy.reference]);
  });

  it('is not taken from a refusal of the stop or from a list that may be older than the run', async () => {
    // Guards against two engines that work on one run.
    const refusals: readonly CopyOutcome[] = [{ outcome: 'busy' }, { outcome: 'no-room' }, noReply];
    for (const refusal of refusals) {
      const [end, tookMs] = await endAt({
        stopped: (call) => (call < 4 ? refusal : { outcome: 'no-such-run' }),
        list: () => Right(['r1']),
      });
      expect(end.kind).to.equal('ended');
      expect(tookMs).to.be.greaterThan(100);
    }
    const [end, tookMs] = await endAt({
      stopped: () => undefined,
      list: () => Right([]),
      begunForMs: 600,
    });
    expect(end.kind).to.equal('ended');
    expect(tookMs).to.be.at.least(400);
  });

  it('is known from the list of runs while the stop has no reply', async () => {
    const list = (call: number): Either<Failure, readonly string[]> =>
      Right(call < 3 ? ['r1'] : []);
    const [end, tookMs] = await endAt({ stopped: () => undefined, list });
    expect(end).to.deep.equal({ kind: 'ended' });
    expect(tookMs).to.be.lessThan(maxWaitMs);
  });

  it('is unknown in time if the engine says nothing', async () => {
    // Guards against a stream that waits for an engine which is gone until its caller gives up.
    const [end, tookMs] = await endAt({ stopped: () => noReply, list: unreadable });
    expect(end).to.deep.equal({ kind: 'unknown' });
    expect(tookMs).to.be.within(maxWaitMs, maxWaitMs + 160);
  });

  it('does not come if the engine goes on to list the run', async () => {
    const list = (): Either<Failure, readonly string[]> => Right(['r1']);
    const [end] = await endAt({ stopped: () => noReply, list });
    expect(end).to.deep.equal({ kind: 'running' });
  });
});
