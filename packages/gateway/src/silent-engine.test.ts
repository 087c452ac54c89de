import { VirtualClock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import { Fleet, type StreamRecovery } from '@zinniagrade/serving';
import { expect } from 'chai';
import { Left, Right } from 'purify-ts';
import type { Call, ServingContext } from './call.js';
import { Log } from './log.js';
import type { PlannedStop } from './planned-stop.js';
import { SilentEngine } from './silent-engine.js';
import type { StreamSegment } from './stream-segment.js';

interface Silence {
  readonly stop: PlannedStop['kind'];
  /** Time after which the stop is settled. */
  readonly stopAfterMs: number;
  readonly listsRuns: boolean;
  readonly recovery?: StreamRecovery;
  readonly movable?: boolean;
  readonly isMoving?: boolean;
  /** Time at which the engine sends an event again. */
  readonly resumesAtMs?: number;
}

interface Outcome {
  /** Times at which a stop was asked for. */
  readonly stopsAtMs: readonly number[];
  /** Times at which the stream was taken away, and whether the engine counted as unreachable. */
  readonly recoveries: readonly (readonly [number, boolean])[];
}

/** Callers of this route leave after 2 s; streams wait 1.4 s for an event and 0.3 s for a stop. */
const route = { goalMs: 200, gapGoalMs: 100 };
const stepMs = 10;
const watchedMs = 2400;

/** Watches an engine that is silent from the start. */
const watchSilentEngine = async (silence: Silence): Promise<Outcome> => {
  const clock = VirtualClock.create();
  const startMs = clock.monotonicMs();
  const nowMs = (): number => Math.round(clock.monotonicMs() - startMs);
  const stopsAtMs: number[] = [];
  const recoveries: (readonly [number, boolean])[] = [];
  let closed = false;
  const upstream = {
    id: 'e1',
    service: 'text',
    address: 'e1:1',
    dataCentre: 'a',
    version: 'v1',
    slots: 8,
    state: 'ready',
    coldLeftMs: 0,
  } as const;
  const segment: Partial<StreamSegment> = {
    member: Fleet.create().register(upstream, 0),
    sentAtMs: startMs,
    isClosed: () => closed,
    close: () => {
      closed = true;
    },
  };
  const listRuns = () =>
    Promise.resolve(
      silence.listsRuns ? Right([]) : Left(Failure.create('upstream-unreachable', 'no reply')),
    );
  const engine = SilentEngine.create(
    { client: { listRuns }, clock, log: Log.createSilent() } as unknown as ServingContext,
    { request: { id: 'r1' }, route, isEnded: () => false } as Call,
    silence.movable ?? true,
    {
      lastEventAtMs: () => {
        const resumesAtMs = silence.resumesAtMs ?? Infinity;
        return nowMs() >= resumesAtMs ? clock.monotonicMs() : startMs;
      },
    },
    {
      isCopying: () => silence.isMoving === true,
      moveSilent: () => {
        stopsAtMs.push(nowMs());
        return new Promise((resolve) => {
          clock.after(silence.stopAfterMs, () => {
            resolve(silence.stop);
          });
        });
      },
    },
    {
      segment: () => segment as StreamSegment,
      recovery: () => silence.recovery ?? 'continue-from-copy',
      recover: (_lost, _reason, isUnreachable) => {
        recoveries.push([nowMs(), isUnreachable]);
      },
    },
  );
  const cancel = engine.watch();
  while (nowMs() < watchedMs) {
    await new Promise((resolve) => setImmediate(resolve));
    clock.advance(stepMs);
  }
  cancel();
  return { stopsAtMs, recoveries };
};

describe('silence of an engine', () => {
  it('takes nothing away from an engine whose run goes on, and is looked at again', async () => {
    // Guards against a sound stream that is closed, and against a stop that is asked for twice at once.
    const silence = { stop: 'running', stopAfterMs: 300, listsRuns: true } as const;
    const { stopsAtMs, recoveries } = await watchSilentEngine(silence);
    expect(stopsAtMs).to.deep.equal([1400, 1900, 2400]);
    expect(recoveries).to.deep.equal([]);
  });

  it('ends the wait for an engine that replies to nothing', async () => {
    // Guards against a second wait for a lost engine, which outlasts its caller's patience.
    const silence = { stop: 'unanswered', stopAfterMs: 300, listsRuns: false } as const;
    const { recoveries } = await watchSilentEngine(silence);
    expect(recoveries).to.deep.equal([[1700, true]]);
  });

  it('waits for the word of an engine that may still be reached', async () => {
    // Guards against a run that goes on at two engines, as its engine was taken for lost too early.
    const slow = { stop: 'unanswered', stopAfterMs: 300, listsRuns: true } as const;
    expect((await watchSilentEngine(slow)).recoveries).to.deep.equal([[1700, false]]);
    const refused = { stop: 'unanswered', stopAfterMs: 50, listsRuns: false } as const;
    expect((await watchSilentEngine(refused)).recoveries).to.deep.equal([[1450, false]]);
  });

  it('leaves a stream alone that has an event again before its stop is answered', async () => {
    // Guards against closing a connection that is in use.
    const silence = {
      stop: 'unanswered',
      stopAfterMs: 300,
      listsRuns: true,
      resumesAtMs: 1500,
    } as const;
    expect((await watchSilentEngine(silence)).recoveries).to.deep.equal([]);
  });

  it('leaves a stream that is being moved to its move, unless the engine replies to nothing', async () => {
    // Guards against two moves of one run, and against a move that waits for a lost engine.
    const moving = { stop: 'stopped', stopAfterMs: 0, isMoving: true } as const;
    const reachable = await watchSilentEngine({ ...moving, listsRuns: true });
    expect(reachable).to.deep.equal({ stopsAtMs: [], recoveries: [] });
    const lost = await watchSilentEngine({ ...moving, listsRuns: false });
    expect(lost).to.deep.equal({ stopsAtMs: [], recoveries: [[1700, true]] });
  });

  it('takes a stream away at once that runs again elsewhere, or whose engine has no moves', async () => {
    // Guards against a longer wait for streams that have no copy to lose.
    const unused = { stop: 'stopped', stopAfterMs: 0, listsRuns: true } as const;
    const again = await watchSilentEngine({ ...unused, recovery: 'run-again' });
    expect(again).to.deep.equal({ stopsAtMs: [], recoveries: [[1000, false]] });
    const immovable = await watchSilentEngine({ ...unused, movable: false });
    expect(immovable).to.deep.equal({ stopsAtMs: [], recoveries: [[1400, false]] });
  });
});
