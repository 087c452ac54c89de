import { Random, VirtualClock } from '@zinniagrade/clock';
import { decideRollout, type FleetMember, type RolloutReport } from '@zinniagrade/serving';
import { expect } from 'chai';
import { Log } from './log.js';
import type { RequestTiming } from './rollout-evidence.js';
import { Rollouts } from './rollouts.js';
import { ClusterState } from './cluster-state.js';

/** Multiplier that spreads the seeds: similar seeds start with nearly the same random numbers. */
const seedSpread = 0x9e3779b1;

const rollout = { service: 'text', target: 'v2', durationMs: 14_000 };

interface Node {
  readonly clock: VirtualClock;
  readonly rollouts: Rollouts;
  readonly reports: readonly RolloutReport[];
}

const memberOf = (version: string): FleetMember =>
  ClusterState.create(Log.createSilent()).fleet.register(
    {
      id: version === rollout.target ? 'new' : 'old',
      service: 'text',
      address: '127.0.0.1:1',
      dataCentre: 'a',
      version,
      slots: 8,
      state: 'ready',
      coldLeftMs: 0,
    },
    0,
  );

const createNode = (
  index: number,
  beforeRollout: (rollouts: Rollouts) => void = () => undefined,
  aliveNodes: ReadonlySet<string> = new Set(),
): Node => {
  const reports: RolloutReport[] = [];
  const log = Log.createSilent();
  const clock = VirtualClock.create();
  const cluster = ClusterState.create(log);
  for (const [id, version] of [
    ['old', 'v1'],
    ['new', 'v2'],
  ] as const) {
    cluster.apply(
      {
        kind: 'upstream',
        id,
        upstream: {
          id,
          service: 'text',
          address: '127.0.0.1:1',
          dataCentre: 'a',
          version,
          slots: 8,
          state: 'ready',
          coldLeftMs: 0,
        },
      },
      1,
      0,
    );
  }
  const rollouts = Rollouts.create(
    clock,
    Random.create(Math.imul(index + 1, seedSpread)),
    log,
    cluster,
    {
      node: `n${String(index)}`,
      aliveNodes: () => aliveNodes,
      peerUse: (upstream) => ({
        upstream,
        requests: 0,
        promptTokens: 0,
        memoryTokens: 0,
        copyTokens: 0,
      }),
      shareReport: (_service, report) => {
        reports.push(report);
      },
      writeStatus: () => Promise.resolve({ outcome: 'conflict' }),
      onSuperseded: () => undefined,
    },
  );
  beforeRollout(rollouts);
  cluster.apply({ kind: 'rollout', service: 'text', rollout }, 2, 0);
  clock.advance(300);
  return { clock, rollouts, reports };
};

describe('rollouts', () => {
  it('give a new version its share if each of many nodes has few requests', () => {
    // 87 nodes with four requests each at a share of 6 %. Guards against nodes that never send a
    // request to the new version, so that there is no evidence to raise the share.
    const nodes = 87;
    const requestsEach = 4;
    let toNew = 0;
    for (let node = 0; node < nodes; node += 1) {
      const { rollouts } = createNode(node);
      for (let request = 0; request < requestsEach; request += 1) {
        const permits = rollouts.chooseVersion('text');
        toNew += permits(memberOf('v2')) ? 1 : 0;
      }
      rollouts.stop();
    }
    expect(toNew / (nodes * requestsEach)).to.be.within(0.02, 0.1);
  });

  it('send more of the first requests only while all nodes know what the others sent', () => {
    // Guards against many nodes that each send a new version the first requests of all of them.
    const { clock, rollouts } = createNode(1, undefined, new Set(['n2', 'n3']));
    const countNew = (): number => {
      const requests = 200;
      let toNew = 0;
      for (let request = 0; request < requests; request += 1) {
        toNew += rollouts.chooseVersion('text')(memberOf('v2')) ? 1 : 0;
      }
      return toNew / requests;
    };
    const report: RolloutReport = { target: 'v2', elapsedMs: 300, newSends: 2, evidence: [] };
    rollouts.receiveReport('n2', 'text', report);
    clock.advance(200);
    expect(countNew(), 'one report is missing').to.be.within(0.04, 0.08);
    rollouts.receiveReport('n3', 'text', report);
    clock.advance(200);
    expect(countNew(), 'all are known').to.be.within(0.15, 0.25);
    rollouts.receiveReport('n3', 'text', { ...report, newSends: 14 });
    clock.advance(200);
    expect(countNew(), 'enough were sent').to.be.within(0.04, 0.08);
  });

  /** Serves requests of the old version, each with its first event after 300 ms. */
  const serveOldVersion = ({ rollouts }: Node, count: number): void => {
    const member = memberOf('v1');
    for (let request = 0; request < count; request += 1) {
      rollouts.recordOutcome(member, 'a', false);
      rollouts.follow({ member, route: 'a', timing: () => ({ firstEventMs: 300 }) })();
    }
  };

  const shareAtEnd = (node: Node): number => {
    const [report] = node.reports.slice(-1);
    return decideRollout(
      rollout,
      'v1',
      report === undefined ? [] : [{ ...report, elapsedMs: 9000 }],
    ).share;
  };

  it('count responses of the new version that are slow already and have not ended', () => {
    // Guards against a version whose few fast responses end and count, while its slow ones are open
    // until after the decision.
    const node = createNode(1);
    const { clock, rollouts } = node;
    serveOldVersion(node, 60);
    const member = memberOf('v2');
    for (let request = 0; request < 8; request += 1) {
      rollouts.recordOutcome(member, 'a', false);
      rollouts.follow({ member, route: 'a', timing: () => ({ firstEventMs: 300 }) })();
    }
    clock.advance(1000);
    expect(shareAtEnd(node)).to.equal(1);
    const sentAtMs = clock.monotonicMs();
    const timing = (): RequestTiming => ({ waitedMs: clock.monotonicMs() - sentAtMs });
    for (let request = 0; request < 8; request += 1) {
      rollouts.follow({ member, route: 'a', timing });
    }
    clock.advance(250);
    expect(shareAtEnd(node), 'short waits say nothing').to.equal(1);
    clock.advance(2000);
    expect(shareAtEnd(node), 'long waits are slow').to.equal(0);
  });

  /** Verdict on a version with slow tokens by 40 streams. */
  const verdictOnStreams = (
    events: number,
    isContinuation: boolean,
    hasEnded = false,
  ): string | undefined => {
    const node = createNode(1);
    const { clock, rollouts } = node;
    serveOldVersion(node, 60);
    const followOpen = (version: string, betweenTokensMs: number, openEvents: number): void => {
      const member = memberOf(version);
      const timing = (): RequestTiming => ({
        firstEventMs: 300,
        betweenTokensMs,
        events: openEvents,
      });
      for (let request = 0; request < 40; request += 1) {
        const isMoved = isContinuation && version === 'v2';
        const end = rollouts.follow({ member, route: 'a', isContinuation: isMoved, timing });
        if (hasEnded) {
          end();
        }
      }
    };
    followOpen('v1', 8, 50);
    followOpen('v2', 32, events);
    clock.advance(1000);
    return decideRollout(rollout, 'v1', node.reports.slice(-1)).bad;
  };

  it('count the tokens of open streams', () => {
    expect(verdictOnStreams(20, false)).to.match(/slow tokens/);
  });

  it('do not judge a version by the first tokens of open streams or those after a move', () => {
    // Guards against a good version that is taken back when all streams move to it at once.
    expect(verdictOnStreams(3, false)).to.equal(undefined);
    expect(verdictOnStreams(20, true)).to.equal(undefined);
    expect(verdictOnStreams(20, true, true)).to.equal(undefined);
    expect(verdictOnStreams(3, false, true)).to.match(/slow tokens/);
  });

  it('know the latency of requests that were open when the rollout began', () => {
    // Guards against a rollout whose first decisions have nothing to compare with.
    const node = createNode(1, (rollouts) => {
      for (let request = 0; request < 40; request += 1) {
        rollouts.follow({
          member: memberOf('v1'),
          route: 'a',
          timing: () => ({ firstEventMs: 300 }),
        });
      }
    });
    node.clock.advance(500);
    const [report] = node.reports;
    const counts = report?.evidence.map(({ version, firstTokenCounts }) => ({
      version,
      requests: firstTokenCounts.reduce((total, count) => total + count, 0),
    }));
    expect(counts).to.deep.equal([{ version: 'v1', requests: 40 }]);
  });

  it('keep what is known of requests that ended without a response', () => {
    // Guards against a version whose responses are so slow that callers and timeouts end them.
    const node = createNode(1);
    const { clock, rollouts } = node;
    serveOldVersion(node, 60);
    clock.advance(1000);
    const member = memberOf('v2');
    for (let request = 0; request < 20; request += 1) {
      rollouts.follow({ member, route: 'a', timing: () => ({ waitedMs: 3000 }) })();
    }
    clock.advance(1000);
    expect(decideRollout(rollout, 'v1', node.reports.slice(-1)).bad).to.match(/slow first tokens/);
  });
});
