import { Random } from '@zinniagrade/clock';
import type { UpstreamUsage, LoadReport, Upstream } from '@zinniagrade/types';
import fc from 'fast-check';
import type { CreditOwnerState } from './index.js';
import {
  CreditOwner,
  HeldLimits,
  currentLimit,
  fallbackMs,
  stepCreditOwner,
  stepHeldLimits,
} from './index.js';

const upstream: Upstream = {
  id: 'u1',
  kind: 'engine',
  dataCentre: 'd1',
  host: '127.0.0.1',
  port: 1,
  services: ['s'],
  version: 'v1',
  capacity: { slots: 8, memoryTokens: 8000 },
  coldSlots: 1,
  refusesOldFencingTokens: true,
  state: 'in-service',
};

const report = (sequence: number, part: Partial<LoadReport> = {}): LoadReport => ({
  sequence,
  at: sequence * 500,
  running: 0,
  waiting: 0,
  memoryTokensUsed: 0,
  memoryTokensTotal: 8000,
  preemptions: 0,
  warm: true,
  version: 'v1',
  ...part,
});

const entry = (part: Partial<UpstreamUsage> = {}): UpstreamUsage => ({
  upstream: 'u1',
  requests: 0,
  memoryTokens: 0,
  wantedRequests: 0,
  wantedMemoryTokens: 0,
  completed: 0,
  failed: 0,
  ...part,
});

interface Envelope {
  readonly at: number;
  readonly to: string;
  readonly deliver: (node: SimulatedNode) => void;
}

interface SimulatedNode {
  readonly id: string;
  owner: CreditOwnerState;
  held: HeldLimits;
  view: number;
  running: number[];
  frozenUntil: number;
  completed: number;
}

/** Runs nodes with late and lost messages, freezes and owner changes; gives the worst overrun seen. */
/** Age of a report, its interval, a poll's interval, and the validity of the limits given before. */
const noticedMs = 500 + 250 + 500 + 2000 + 250;

const overrun = (seed: number): number => {
  const random = Random.create(seed);
  const names = ['n0', 'n1', 'n2', 'n3'];
  const loss = random() * 0.4;
  const wire: Envelope[] = [];
  const nodes = new Map<string, SimulatedNode>();
  for (const id of names) {
    nodes.set(id, {
      id,
      owner: CreditOwner.create(id, 0),
      held: HeldLimits.create(1_000_000, 0),
      view: 0,
      running: [],
      frozenUntil: 0,
      completed: 0,
    });
  }
  const reports: LoadReport[] = [report(1, { warm: false })];
  let clock = 0;
  let warm = false;
  let turnedAt = 0;
  let views = 0;
  let deadFor = 0;
  let dies: SimulatedNode | undefined;
  const live = new Set(names);
  let worst = -Infinity;
  const inFlight = () => [...nodes.values()].reduce((sum, { running }) => sum + running.length, 0);
  const post = (now: number, to: string, deliver: Envelope['deliver']) => {
    if (random() >= loss) {
      const at = now + (random() < 0.1 ? random() * 3000 : random() * 50);
      wire.push({ at, to, deliver });
    }
  };
  const seeOwner = (now: number, node: SimulatedNode, owner: string) => {
    const seen = { kind: 'owners', owners: { u1: owner }, liveNodes: live } as const;
    node.held = stepHeldLimits(node.held, seen, now).state;
    const owned = owner === node.id ? [{ upstream, learnedAs: 'm' }] : [];
    const event = { kind: 'ownership', owned, regionNodes: names } as const;
    node.owner = stepCreditOwner(node.owner, event, now).state;
  };
  const changeOwner = (now: number, owner: string) => {
    views += 1;
    const view = views;
    for (const node of nodes.values()) {
      const deliver = (target: SimulatedNode) => {
        if (view > target.view) {
          target.view = view;
          seeOwner(clock, target, owner);
        }
      };
      wire.push({ at: now + random() * 900, to: node.id, deliver });
    }
  };
  const drive = (now: number, node: SimulatedNode) => {
    const ticked = stepCreditOwner(node.owner, { kind: 'tick' }, now);
    node.owner = ticked.state;
    for (const action of ticked.actions) {
      if (action.kind === 'poll-load') {
        const seen = reports.findLast(({ at }) => at <= now - 500) ?? report(1, { warm: false });
        const event = { kind: 'load-report', upstream: 'u1', report: seen } as const;
        node.owner = stepCreditOwner(node.owner, event, now).state;
      }
    }
    node.held = stepHeldLimits(node.held, { kind: 'tick' }, now).state;
    const limit = currentLimit(node.held, 'u1', upstream.capacity, names.length, now);
    while (node.running.length < (limit?.slots ?? 0) && random() < 0.7) {
      node.running.push(now + 100 + random() * (random() < 0.2 ? 6000 : 600));
      // A fallback share ends with its own time when the owner's answers are lost.
      const fallback = limit !== node.held.limits.u1;
      const unnoticedMs = fallback ? noticedMs + fallbackMs : noticedMs;
      const bears = !warm && now - turnedAt > unnoticedMs ? 1 : 8;
      worst = Math.max(worst, inFlight() - bears);
    }
  };
  const demand = (now: number, node: SimulatedNode) => {
    const inFlightOf = entry({
      requests: node.running.length,
      wantedRequests: Math.floor(random() * 8),
      completed: node.completed,
    });
    node.completed = 0;
    const sent = stepHeldLimits(node.held, { kind: 'demand', inFlight: [inFlightOf] }, now);
    node.held = sent.state;
    for (const { to } of sent.actions) {
      post(now, to.node, (target) => {
        const event = { kind: 'demand', node: node.id, demand: to.message } as const;
        const granted = stepCreditOwner(target.owner, event, clock);
        target.owner = granted.state;
        for (const action of granted.actions) {
          if (action.kind === 'send' && action.to.message.kind === 'credit-grant') {
            const grant = action.to.message;
            post(clock, node.id, (back) => {
              const taken = { kind: 'grant', owner: target.id, grant } as const;
              back.held = stepHeldLimits(back.held, taken, clock).state;
            });
          }
        }
      });
    }
  };
  const due = (id: string) =>
    wire.filter(({ at, to }) => at <= clock && to === id).sort((a, b) => a.at - b.at);
  changeOwner(0, 'n0');
  for (; clock < 40_000; clock += 50) {
    if (warm ? random() < 0.002 : random() < 0.01) {
      warm = !warm;
      turnedAt = clock;
    }
    if (random() < 0.004) {
      changeOwner(clock, [...live][Math.floor(random() * live.size)] ?? 'n0');
    }
    if (dies === undefined && random() < 0.001) {
      dies = nodes.get('n0');
    }
    // A dead node is gone for the others 3 s later, and is not owner from then on.
    if (dies !== undefined && live.has(dies.id) && (deadFor += 50) >= 3000) {
      live.delete(dies.id);
      changeOwner(clock, 'n1');
    }
    for (const node of nodes.values()) {
      const left = node.running.filter((end) => end > clock);
      node.completed += node.running.length - left.length;
      node.running = left;
    }
    if (clock % 250 === 0) {
      reports.push(report(clock / 250 + 2, { at: clock, running: inFlight(), warm }));
    }
    for (const [index, node] of [...nodes.values()].entries()) {
      if (clock < node.frozenUntil || node === dies) {
        continue;
      }
      for (const message of due(node.id)) {
        wire.splice(wire.indexOf(message), 1);
        message.deliver(node);
      }
      drive(clock, node);
      if ((clock + index * 100) % 500 === 0) {
        demand(clock, node);
      }
      if (random() < 0.001) {
        node.frozenUntil = clock + random() * 6000;
      }
    }
  }
  return worst;
};

describe('limits over all nodes', () => {
  it('never let in more than the capacity under lost and late messages, owner changes and freezes', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => overrun(seed) <= 0),
      { seed: 1, numRuns: 200 },
    );
  });
});
