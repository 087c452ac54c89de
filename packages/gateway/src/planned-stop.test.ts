import { VirtualClock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import { Fleet, type FleetMember } from '@zinniagrade/serving';
import { expect } from 'chai';
import { Right } from 'purify-ts';
import { Log } from './log.js';
import { PlannedStops, type PlannedStop } from './planned-stop.js';
import type { StreamSegment } from './stream-segment.js';
import type { CopyOutcome, UpstreamClient } from './upstream-client.js';

const createMember = (id: string): FleetMember =>
  Fleet.create().register(
    {
      id,
      service: 'text',
      address: `${id}:1`,
      dataCentre: 'a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
    },
    0,
  );

const copy = { reference: 'e1:1/h1' };
const copied: CopyOutcome = { outcome: 'copied', copy, events: 7 };
const noReply: CopyOutcome = {
  outcome: 'unreachable',
  failure: Failure.create('upstream-unreachable', 'no reply'),
  processEnded: false,
};

/** How a response ends while its run is being stopped. */
type ResponseEnd = 'open' | 'in order' | 'closed early' | 'reset' | 'taken away';

interface StopResult {
  readonly stop: PlannedStop;
  /** What the stream was told of the end of the response. */
  readonly told: readonly string[];
  readonly dropped: readonly string[];
  readonly isClosed: boolean;
  readonly tookMs: number;
  /** Calls that told the engine to stop the run, once it has replied to the first. */
  readonly askedAfterReply: () => Promise<number>;
}

const replyAfterMs = 1000;
const stepMs = 10;

/** Stops a run whose engine replies after a second and lists no runs. */
const stopRun = async (
  reply: CopyOutcome,
  responseEnd: ResponseEnd,
  endedAgain = false,
): Promise<StopResult> => {
  const clock = VirtualClock.create();
  clock.advance(10_000);
  const startMs = clock.monotonicMs();
  const told: string[] = [];
  const dropped: string[] = [];
  let closed = false;
  let asked = 0;
  const client: Partial<UpstreamClient> = {
    copyRun: () => {
      asked += 1;
      return new Promise((resolve) => {
        clock.after(replyAfterMs, () => {
          resolve(reply);
        });
      });
    },
    listRuns: () => Promise.resolve(Right([])),
    dropCopy: (_source, { reference }) => {
      dropped.push(reference);
    },
  };
  const segment: Partial<StreamSegment> = {
    member: createMember('e1'),
    firstEventAtMs: () => startMs - 5000,
    isClosed: () => closed,
    close: () => {
      closed = true;
    },
  };
  const stops = PlannedStops.create(
    { client: client as UpstreamClient, clock, log: Log.createSilent() },
    {
      request: { id: 'r1', method: 'POST', host: 'a', url: '/a', headers: [], promptParts: [] },
      isEnded: () => false,
    },
  );
  const endResponse = (end: ResponseEnd): void => {
    closed = true;
    stops.onEnd({
      segment: segment as StreamSegment,
      ...(end === 'in order' ? { complete: () => told.push('complete') } : {}),
      isClosedEarly: end === 'closed early',
      fail: () => told.push('failed'),
    });
  };
  let stop: PlannedStop | undefined;
  void stops.stop(segment as StreamSegment, createMember('e2')).then((result) => (stop = result));
  if (responseEnd === 'taken away') {
    closed = true;
  } else if (responseEnd !== 'open') {
    endResponse(responseEnd);
  }
  for (;;) {
    await new Promise((resolve) => setImmediate(resolve));
    if (stop !== undefined) {
      break;
    }
    clock.advance(stepMs);
  }
  const tookMs = clock.monotonicMs() - startMs;
  if (endedAgain) {
    endResponse('in order');
  }
  await new Promise((resolve) => setImmediate(resolve));
  const askedAfterReply = async (): Promise<number> => {
    clock.advance(replyAfterMs);
    await new Promise((resolve) => setImmediate(resolve));
    return asked;
  };
  return { stop, told, dropped, isClosed: closed, tookMs, askedAfterReply };
};

describe('planned stop of a run', () => {
  it('closes the connection once the engine has confirmed it, and tells nobody of the end', async () => {
    // Guards against a run that its engine drops because its connection closes, and against a
    // stream that is taken for lost or complete where its run was stopped.
    const stoppedAtSource: CopyOutcome = { outcome: 'no-room', copy };
    for (const reply of [copied, stoppedAtSource]) {
      for (const responseEnd of ['open', 'in order'] as const) {
        const { stop, told, dropped, isClosed } = await stopRun(reply, responseEnd);
        expect(stop).to.deep.include({
          kind: 'stopped',
          memory: { copy, isAtTarget: reply === copied },
        });
        expect([told, dropped, isClosed]).to.deep.equal([[], [], true]);
      }
    }
  });

  for (const [responseEnd, withinMs] of [
    ['closed early', stepMs],
    ['reset', replyAfterMs / 2],
  ] as const) {
    it(`is known before the reply if the response was ${responseEnd}`, async () => {
      // Guards against a pause of the stream for the time that its memory takes to be copied.
      const { stop, told, tookMs } = await stopRun(copied, responseEnd);
      expect(stop).to.deep.include({ kind: 'stopped', memory: undefined });
      expect(told).to.deep.equal([]);
      expect(tookMs).to.be.lessThan(withinMs);
      const reply =
        stop.kind === 'stopped'
          ? await Promise.race([stop.reply, Promise.resolve('none yet')])
          : '';
      expect(reply).to.equal('none yet');
    });
  }

  it('is asked again if the reply does not confirm what the close of the response showed', async () => {
    // Guards against a run that a faulty engine goes on with, beside the engine that continues it.
    const unconfirmed = await stopRun({ outcome: 'busy' }, 'closed early');
    expect(await unconfirmed.askedAfterReply()).to.equal(2);
    const confirmed = await stopRun(copied, 'closed early');
    expect(await confirmed.askedAfterReply()).to.equal(1);
  });

  it('is not known from a reset alone', async () => {
    // Guards against a run that goes on at its engine although its connection was reset.
    const { tookMs } = await stopRun(copied, 'reset');
    expect(tookMs).to.be.greaterThan(stepMs);
  });

  it('leaves the connection open if the engine does not stop the run', async () => {
    // Guards against a sound stream that is closed although it can't go on elsewhere.
    const refusals: readonly CopyOutcome[] = [
      { outcome: 'no-room' },
      { outcome: 'busy' },
      { outcome: 'no-such-run' },
    ];
    for (const refusal of refusals) {
      const { stop, told, isClosed } = await stopRun(refusal, 'open');
      expect([stop, told, isClosed]).to.deep.equal([{ kind: 'running' }, [], false]);
    }
    const { stop, isClosed } = await stopRun(noReply, 'open');
    expect([stop, isClosed]).to.deep.equal([{ kind: 'unanswered' }, false]);
  });

  it('leaves a stream complete that ended by itself meanwhile', async () => {
    const { stop, told } = await stopRun({ outcome: 'no-such-run' }, 'in order');
    expect([stop, told]).to.deep.equal([{ kind: 'running' }, ['complete']]);
  });

  it('takes no end for complete if the run may have been stopped', async () => {
    // Guards against a truncated stream that is passed on as complete.
    for (const reply of [{ outcome: 'busy' }, { outcome: 'no-room' }] as const) {
      expect((await stopRun(reply, 'in order')).told).to.deep.equal(['failed']);
    }
    expect((await stopRun(noReply, 'in order')).told).to.deep.equal(['failed']);
    expect((await stopRun(noReply, 'open', true)).told).to.deep.equal(['failed']);
  });

  it('frees the copy if the stream was taken from its engine meanwhile', async () => {
    const { stop, dropped } = await stopRun(copied, 'taken away');
    expect(stop).to.deep.equal({ kind: 'superseded' });
    expect(dropped).to.deep.equal([copy.reference]);
  });
});
