import { Random, VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { Log } from './log.js';
import { Rollouts } from './rollouts.js';
import { ClusterState } from './cluster-state.js';

/** Multiplier that spreads the seeds: similar seeds start with nearly the same random numbers. */
const seedSpread = 0x9e3779b1;

const createNode = (index: number): Rollouts => {
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
  const rollout = { service: 'text', target: 'v2', durationMs: 14_000 };
  cluster.apply({ kind: 'rollout', service: 'text', rollout }, 2, 0);
  const rollouts = Rollouts.create(
    clock,
    Random.create(Math.imul(index + 1, seedSpread)),
    log,
    cluster,
    {
      node: `n${String(index)}`,
      aliveNodes: () => new Set(),
      peerUse: (upstream) => ({
        upstream,
        requests: 0,
        promptTokens: 0,
        memoryTokens: 0,
        copyTokens: 0,
      }),
      shareReport: () => undefined,
      writeStatus: () => Promise.resolve({ outcome: 'conflict' }),
      onSuperseded: () => undefined,
    },
  );
  clock.advance(300);
  return rollouts;
};

describe('rollouts', () => {
  it('give a new version its share if each of many nodes has few requests', () => {
    // 87 nodes with four requests each at a share of 6 %. Guards against nodes that never send a
    // request to the new version, so that there is no evidence to raise the share.
    const nodes = 87;
    const requestsEach = 4;
    let toNew = 0;
    for (let node = 0; node < nodes; node += 1) {
      const rollouts = createNode(node);
      for (let request = 0; request < requestsEach; request += 1) {
        const permits = rollouts.chooseVersion('text');
        const cluster = ClusterState.create(Log.createSilent());
        const member = cluster.fleet.register(
          {
            id: 'new',
            service: 'text',
            address: '127.0.0.1:1',
            dataCentre: 'a',
            version: 'v2',
            slots: 8,
            state: 'ready',
            coldLeftMs: 0,
          },
          0,
        );
        toNew += permits(member) ? 1 : 0;
      }
      rollouts.stop();
    }
    expect(toNew / (nodes * requestsEach)).to.be.within(0.02, 0.1);
  });
});
