import { VirtualClock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import { emptyCurve } from '@zinniagrade/length-estimates';
import type { HeldLimit } from '@zinniagrade/types';
import { expect } from 'chai';
import { createAdmissionQueue } from './admission-queue.js';
import { chooseLeastLoaded } from './choose-upstream.js';
import { createConfiguration, createUpstream } from './fake-upstreams.test.js';
import { worstCaseMemoryModel } from './memory-model.js';
import type { Placement, PlacementRequest } from './placement.js';
import { createPlacer } from './placement.js';
import { createStaticControl } from './static-control.js';
import { WorkMeter } from './work-meter.js';

const configuration = createConfiguration([createUpstream('p1', 1, 'plain')]);
const service = configuration.services.notes ?? expect.fail('the service is missing');

/** An admission queue in front of one upstream with one slot, on a virtual clock. */
const createFixture = () => {
  const clock = VirtualClock.create();
  const limit: HeldLimit = { slots: 1, memoryTokens: 0, warm: true, lapsesAt: Infinity };
  const { view } = createStaticControl({ configuration, limits: new Map([['p1', limit]]) });
  const meter = WorkMeter.create(worstCaseMemoryModel, clock.monotonicMs);
  const chooseUpstream = chooseLeastLoaded;
  const place = createPlacer({
    ...{ view, meter, clock, random: () => 0, chooseUpstream },
    reportLeaving: () => undefined,
  });
  const admit = createAdmissionQueue({ place, view, clock });
  const placed: Placement[] = [];
  const refused: string[] = [];
  const call = (id: string): (() => void) => {
    const request: PlacementRequest = {
      ...{ id, service, clientAccount: 'acme', route: 'credit' },
      ...{ promptTokens: 0, maxTokens: 0, memory: emptyCurve, drawnForNew: false },
      arrivedAt: clock.monotonicMs(),
    };
    return admit(request, new Set(), (placement) => {
      placement.ifRight((found) => placed.push(found)).ifLeft(({ kind }) => refused.push(kind));
    });
  };
  return { clock, meter, placed, refused, call };
};

describe('admission queue and work meter', () => {
  it('place a waiting request as soon as another one ends', () => {
    const { clock, placed, refused, call } = createFixture();
    call('a');
    call('b');
    expect(placed).to.have.length(1);
    clock.advance(100);
    placed[0]?.work.finish('completed');
    expect(placed).to.have.length(2);
    expect(refused).to.deep.equal([]);
  });

  it('refuse a request at its deadline, and a cancelled one not at all', () => {
    const { clock, placed, refused, call } = createFixture();
    call('a');
    call('b');
    const cancel = call('c');
    cancel();
    clock.advance(service.firstAnswerDeadlineMs + 100);
    expect(placed).to.have.length(1);
    expect(refused).to.deep.equal(['overloaded']);
  });

  it('report requests in flight, a waiting request once, and each piece of evidence once', () => {
    const { clock, meter, placed, call } = createFixture();
    call('a');
    call('b');
    clock.advance(200);
    const report = { upstream: 'p1', requests: 1, memoryTokens: 0, completed: 0, failed: 0 };
    const wanted = { wantedRequests: 1, wantedMemoryTokens: 0 };
    expect(meter.collectInFlight()).to.deep.equal([{ ...report, ...wanted }]);
    placed[0]?.work.recordTokens(clock.monotonicMs(), 0);
    placed[0]?.work.finish('completed');
    placed[1]?.work.finish('failed');
    placed[1]?.work.finish('completed');
    const [first] = meter.collectInFlight();
    expect(first).to.include({ requests: 0, wantedRequests: 0, completed: 1, failed: 1 });
    expect(first?.firstTokenMs).to.be.closeTo(200, 20);
    const [evidence] = meter.collectVersionEvidence();
    expect(evidence).to.include({ version: 'n1', route: 'credit', succeeded: 1, failed: 1 });
    expect([meter.collectInFlight(), meter.collectVersionEvidence()]).to.deep.equal([[], []]);
  });

  it('place nothing more at an upstream that refused because it is leaving', () => {
    const { clock, placed, refused, call } = createFixture();
    call('a');
    placed[0]?.reportFailure(Failure.create('upstream-refused', 'leaving'));
    placed[0]?.work.finish('not-run');
    call('b');
    clock.advance(service.firstAnswerDeadlineMs + 100);
    expect([placed.length, refused]).to.deep.equal([1, ['overloaded']]);
  });

  it('count nothing for a request that its upstream refused', () => {
    const { meter, placed, call } = createFixture();
    call('a');
    placed[0]?.work.finish('not-run');
    expect([meter.collectInFlight(), meter.collectVersionEvidence()]).to.deep.equal([[], []]);
  });
});
