import { Random, VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { Log } from './log.js';
import { Rollouts } from './rollouts.js';
import { View } from './view.js';

/** Seeds that lie close together begin with nearly the same numbers. */
const seedSpread = 0x9e3779b1;

const createNode = (index: number): Rollouts => {
  const log = Log.createSilent();
  const clock = VirtualClock.create();
  const view = View.create(log);
  for (const [id, version] of [
    ['old', 'v1'],
    ['new', 'v2'],
  ] as const) {
    view.apply(
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
  view.apply({ kind: 'rollout', service: 'text', rollout }, 2, 0);
  const rollouts = Rollouts.create(
    clock,
    Random.create(Math.imul(index + 1, seedSpread)),
    log,
    view,
    {
      node: `n${String(index)}`,
      alive: () => new Set(),
      peerUse: (upstream) => ({
        upstream,
        requests: 0,
        promptTokens: 0,
        memoryTokens: 0,
        copyTokens: 0,
      }),
      share: () => undefined,
      writeStatus: () => Promise.resolve({ outcome: 'conflict' }),
      onSuperseded: () => undefined,
    },
  );
  clock.advance(300);
  return rollouts;
};

describe('rollouts', () => {
  it('give a new version its share where each of many nodes has few requests', () => {
    // Load pattern: 87 nodes with four requests each while the share is 6 in 100. Guards against
    // nodes of which none ever sends a request to the new version, so that nothing is learned.
    const nodes = 87;
    const requestsEach = 4;
    let toNew = 0;
    for (let node = 0; node < nodes; node += 1) {
      const rollouts = createNode(node);
      for (let request = 0; request < requestsEach; request += 1) {
        const permits = rollouts.draw('text');
        const view = View.create(Log.createSilent());
        const member = view.fleet.register(
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
