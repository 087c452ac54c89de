import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import { admitGeneration, type AdmissionLimits } from './admission.js';
import { Departures } from './departures.js';
import { Fleet, type FleetMember } from './fleet.js';
import { PeerUse } from './peer-use.js';
import type { PlacementConstraints } from './placement.js';
import { RetryAfterSchedule } from './retry-after-schedule.js';
import { StatedTimeouts } from './stated-timeouts.js';

const engineTokens = 34_000;
const need = { promptTokens: 3000, outputTokens: 900 };
const unlimited: AdmissionLimits = {
  reserveShare: 0,
  firstEventWithinMs: Infinity,
  tokensAhead: 0,
  urgentRoom: { tokens: 0, tokensEach: 0, tokensPerMs: 0 },
};

const createEngines = (count: number): readonly FleetMember[] => {
  const fleet = Fleet.create();
  for (let index = 0; index < count; index += 1) {
    const id = String(index);
    fleet.register(
      {
        id,
        service: 'text',
        address: `127.0.0.1:${id}`,
        dataCentre: 'a',
        version: 'v1',
        slots: 24,
        state: 'ready',
        coldLeftMs: 0,
      },
      0,
    );
  }
  return fleet.ofService('text');
};

const peers = PeerUse.create();
const constraints: PlacementConstraints = {
  nowMs: 100,
  excludedUpstreams: new Set(),
  withdrawnDataCentres: new Set(),
  allows: () => true,
  unknownPlacements: 0,
  peerUse: (upstream) => peers.totalFor(upstream),
};

/** Sends requests until one is not admitted; returns the number admitted and the refusal kind. */
const fill = (
  members: readonly FleetMember[],
  limits: AdmissionLimits,
  hasBegun: boolean,
): { readonly count: number; readonly kind: string } => {
  const random = Random.create(1);
  for (let count = 0; ; count += 1) {
    const admission = admitGeneration(members, need, engineTokens, constraints, limits, random);
    if (admission.kind !== 'placed') {
      return { count, kind: admission.kind };
    }
    const requestId = String(count);
    admission.member.ownRuns.set(requestId, {
      requestId,
      sentAtMs: 0,
      promptTokens: need.promptTokens,
      expectedTokens: need.promptTokens + need.outputTokens,
      hasBegun,
      isBackup: false,
    });
  }
};

describe('admission', () => {
  it('keeps memory free for the streams of an engine that leaves', () => {
    // One of three engines leaves every few seconds, and there are more long
    // generations than fit. Guards against losing its streams because no other engine has memory
    // for them.
    const members = createEngines(3);
    const { count, kind } = fill(members, { ...unlimited, reserveShare: 1 / 3 }, true);
    const streamsPerEngine = Math.floor(engineTokens / (need.promptTokens + need.outputTokens));
    expect(kind).to.equal('no-memory');
    expect(count).to.be.at.most(2 * streamsPerEngine + 1);
    expect(count).to.be.at.least(2 * streamsPerEngine - 1);
  });

  it('does not queue more prompts than can start in time', () => {
    // A burst of requests reaches an engine that has just started. Guards against a queue
    // in which every first event is late.
    const members = createEngines(1);
    const [engine] = members;
    if (engine === undefined) {
      throw new Error('no engine');
    }
    engine.msPerPromptToken = 0.15;
    const { count, kind } = fill(members, { ...unlimited, firstEventWithinMs: 1800 }, false);
    expect(kind).to.equal('late');
    expect(count).to.equal(Math.floor(1800 / (need.promptTokens * 0.15)));
  });

  it('admits to an engine without queued prompts, however slow its first events were', () => {
    // Regression (soak seeds 129, 131, 136): an engine that was slow once counted as slow forever,
    // as it got no requests from which its speed could be measured again.
    const members = createEngines(1);
    const [engine] = members;
    if (engine === undefined) {
      throw new Error('no engine');
    }
    engine.msPerPromptToken = 10;
    const { count, kind } = fill(members, { ...unlimited, firstEventWithinMs: 1800 }, false);
    expect({ count, kind }).to.deep.equal({ count: 1, kind: 'late' });
  });

  it('estimates an engine of unmeasured speed from the other engines', () => {
    const members = createEngines(2);
    const [measured, unmeasured] = members;
    if (measured === undefined || unmeasured === undefined) {
      throw new Error('no engines');
    }
    measured.msPerPromptToken = 1;
    measured.avoidUntilMs = 1000;
    unmeasured.ownRuns.set('waiting', {
      requestId: 'waiting',
      sentAtMs: 0,
      promptTokens: need.promptTokens,
      expectedTokens: need.promptTokens + need.outputTokens,
      hasBegun: false,
      isBackup: false,
    });
    const limits = { ...unlimited, firstEventWithinMs: 2000 };
    const admission = admitGeneration(
      members,
      need,
      engineTokens,
      constraints,
      limits,
      Random.create(1),
    );
    expect(admission).to.deep.equal({ kind: 'late', lateByMs: 4000 });
  });

  it('keeps engines with room for urgent requests from being filled', () => {
    // Guards against free memory that is spread over all engines in parts too small for any request,
    // so that engines preempt long streams for urgent requests.
    const members = createEngines(4);
    const urgentRoom = { tokens: 8000, tokensEach: 4000, tokensPerMs: 0 };
    fill(members, { ...unlimited, urgentRoom }, true);
    const roomy = members.filter(({ ownRuns }) => {
      let used = 0;
      for (const { expectedTokens } of ownRuns.values()) {
        used += expectedTokens;
      }
      return used + urgentRoom.tokensEach <= engineTokens;
    });
    expect(roomy.length).to.be.at.least(2);
  });

  it('leaves engines not idle for urgent requests that may wait long', () => {
    const members = createEngines(4);
    const urgentRoom = { tokens: 1e6, tokensEach: 4000, tokensPerMs: 0 };
    const { count } = fill(members, { ...unlimited, urgentRoom }, true);
    const perEngine = Math.floor(engineTokens / (need.promptTokens + need.outputTokens));
    expect(count).to.be.at.least(0.7 * 4 * perEngine);
  });

  it('reports that no engine is usable', () => {
    expect(fill([], unlimited, true)).to.deep.equal({ count: 0, kind: 'no-engine' });
  });
});

describe('departures', () => {
  it('reserves the memory of one engine if engines leave within the duration of a stream', () => {
    // One of six engines is reclaimed every 3.3 s, and a stream takes 9 s.
    const departures = Departures.create();
    departures.recordStreamDuration(9000);
    for (let atMs = 0; atMs < 30_000; atMs += 3300) {
      departures.recordDeparture(atMs, 6);
    }
    expect(departures.reserveShare(30_000, 6)).to.be.closeTo(1 / 6, 1e-9);
    expect(departures.reserveShare(30_000, 3)).to.be.closeTo(1 / 3, 1e-9);
    expect(departures.reserveShare(30_000, 1)).to.equal(0);
  });

  it('weights streams by duration, so that many short ones do not hide the long ones', () => {
    // Guards against a reserve of zero because most streams end quickly.
    const departures = Departures.create();
    for (let stream = 0; stream < 40; stream += 1) {
      departures.recordStreamDuration(stream % 4 === 0 ? 9000 : 400);
    }
    for (let atMs = 0; atMs < 30_000; atMs += 3300) {
      departures.recordDeparture(atMs, 6);
    }
    expect(departures.reserveShare(30_000, 6)).to.be.greaterThan(0);
  });

  it('reserves the memory of all engines that leave together', () => {
    const departures = Departures.create();
    departures.recordStreamDuration(9000);
    for (let atMs = 0; atMs < 30_000; atMs += 3300) {
      for (let engine = 0; engine < 6; engine += 1) {
        departures.recordDeparture(atMs + engine, 34);
      }
    }
    expect(departures.reserveShare(30_000, 34)).to.be.closeTo(6 / 34, 1e-9);
  });

  it('reserves nothing if engines leave rarely', () => {
    // Guards against idle memory in deployments with stable engines.
    const departures = Departures.create();
    departures.recordStreamDuration(9000);
    departures.recordDeparture(0, 6);
    expect(departures.reserveShare(10_000, 6)).to.equal(0);
    expect(Departures.create().reserveShare(0, 6)).to.equal(0);
  });
});

describe('retry-after schedule', () => {
  it('spreads retries of refused requests over the time in which memory becomes free', () => {
    // Many requests are refused at once. Guards against all callers retrying at the same time.
    const schedule = RetryAfterSchedule.create();
    for (let atMs = 0; atMs < 5000; atMs += 1000) {
      schedule.recordFreedMemory(4000, atMs);
    }
    const waits = Array.from({ length: 5 }, () => schedule.reserveWaitMs(4000, 5000, 10_000));
    for (const [index, wait] of waits.entries()) {
      expect(wait).to.be.closeTo(600 + index * 1000, 1);
    }
  });

  it('never returns a longer wait than the given maximum', () => {
    const schedule = RetryAfterSchedule.create();
    for (let request = 0; request < 50; request += 1) {
      expect(schedule.reserveWaitMs(4000, 0, 2000)).to.be.at.most(2000);
    }
  });
});

describe('stated timeouts', () => {
  it('returns the longest timeout stated so far for the route', () => {
    const timeouts = StatedTimeouts.create();
    expect(timeouts.recordLongest('r', 39_000)).to.equal(39_000);
    expect(timeouts.recordLongest('r', 35_000)).to.equal(39_000);
    expect(timeouts.recordLongest('other', 6000)).to.equal(6000);
  });
});
