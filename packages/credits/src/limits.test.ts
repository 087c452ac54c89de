import { Random } from '@zinniagrade/clock';
import type { UpstreamUsage, LoadReport, Upstream } from '@zinniagrade/types';
import fc from 'fast-check';
import type { CreditOwnerState } from './index.js';
import {
  CreditOwner,
  HeldLimits,
  currentLimit,
  fallbackDurationMs,
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

const report = (sequence: number, overrides: Partial<LoadReport> = {}): LoadReport => ({
  sequence,
  at: sequence * 500,
  running: 0,
  waiting: 0,
  memoryTokensUsed: 0,
  memoryTokensTotal: 8000,
  preemptions: 0,
  warm: true,
  version: 'v1',
  ...overrides,
});

const entry = (overrides: Partial<UpstreamUsage> = {}): UpstreamUsage => ({
  upstream: 'u1',
  requests: 0,
  memoryTokens: 0,
  wantedRequests: 0,
  wantedMemoryTokens: 0,
  completed: 0,
  failed: 0,
  ...overrides,
});

interface MessageInTransit {
  readonly at: number;
  readonly to: string;
  readonly deliver: (node: SimulatedNode) => void;
}

interface SimulatedNode {
  readonly id: string;
  owner: CreditOwnerState;
  held: HeldLimits;
  ownerVersion: number;
  running: number[];
  frozenUntil: number;
  completed: number;
}

/**
 * Time until no node uses warm limits of an upstream that turned cold: age of a report, its
 * interval, the poll interval, the validity of earlier limits, and the tick interval.
 */
const coldNoticeMs = 500 + 250 + 500 + 2000 + 250;

/**
 * Simulates nodes with late and lost messages, freezes and owner changes. Returns the greatest
 * overrun of the capacity.
 */
const worstOverrun = (seed: number): number => {
  const random = Random.create(seed);
  const names = ['n0', 'n1', 'n2', 'n3'];
  const lossProbability = random() * 0.4;
  const inTransit: MessageInTransit[] = [];
  const nodes = new Map<string, SimulatedNode>();
  for (const id of names) {
    nodes.set(id, {
      id,
      owner: CreditOwner.create(id, 0),
      held: HeldLimits.create(1_000_000, 0),
      ownerVersion: 0,
      running: [],
      frozenUntil: 0,
      completed: 0,
    });
  }
  const reports: LoadReport[] = [report(1, { warm: false })];
  let clock = 0;
  let warm = false;
  let warmChangedAt = 0;
  let ownerVersions = 0;
  let deadForMs = 0;
  let dyingNode: SimulatedNode | undefined;
  const live = new Set(names);
  let worst = -Infinity;
  const inFlight = () => [...nodes.values()].reduce((sum, { running }) => sum + running.length, 0);
  const sendMessage = (now: number, to: string, deliver: MessageInTransit['deliver']) => {
    if (random() >= lossProbability) {
      const at = now + (random() < 0.1 ? random() * 3000 : random() * 50);
      inTransit.push({ at, to, deliver });
    }
  };
  const applyOwner = (now: number, node: SimulatedNode, owner: string) => {
    const ownersEvent = { kind: 'owners', owners: { u1: owner }, liveNodes: live } as const;
    node.held = stepHeldLimits(node.held, ownersEvent, now).state;
    const owned = owner === node.id ? [{ upstream, latencyKey: 'm' }] : [];
    const event = { kind: 'ownership', owned, regionNodes: names } as const;
    node.owner = stepCreditOwner(node.owner, event, now).state;
  };
  const changeOwner = (now: number, owner: string) => {
    ownerVersions += 1;
    const ownerVersion = ownerVersions;
    for (const node of nodes.values()) {
      const deliver = (target: SimulatedNode) => {
        if (ownerVersion > target.ownerVersion) {
          target.ownerVersion = ownerVersion;
          applyOwner(clock, target, owner);
        }
      };
      inTransit.push({ at: now + random() * 900, to: node.id, deliver });
    }
  };
  const stepNode = (now: number, node: SimulatedNode) => {
    const ownerStep = stepCreditOwner(node.owner, { kind: 'tick' }, now);
    node.owner = ownerStep.state;
    for (const action of ownerStep.actions) {
      if (action.kind === 'poll-load') {
        const latestReport =
          reports.findLast(({ at }) => at <= now - 500) ?? report(1, { warm: false });
        const event = { kind: 'load-report', upstream: 'u1', report: latestReport } as const;
        node.owner = stepCreditOwner(node.owner, event, now).state;
      }
    }
    node.held = stepHeldLimits(node.held, { kind: 'tick' }, now).state;
    const limit = currentLimit(node.held, 'u1', upstream.capacity, names.length, now);
    while (node.running.length < (limit?.slots ?? 0) && random() < 0.7) {
      node.running.push(now + 100 + random() * (random() < 0.2 ? 6000 : 600));
      // If the owner's grants are lost, a fallback share lasts until its own end.
      const fallback = limit !== node.held.limits.u1;
      const coldNoticeLimitMs = fallback ? coldNoticeMs + fallbackDurationMs : coldNoticeMs;
      const allowedInFlight = !warm && now - warmChangedAt > coldNoticeLimitMs ? 1 : 8;
      worst = Math.max(worst, inFlight() - allowedInFlight);
    }
  };
  const sendDemands = (now: number, node: SimulatedNode) => {
    const inFlightEntry = entry({
      requests: node.running.length,
      wantedRequests: Math.floor(random() * 8),
      completed: node.completed,
    });
    node.completed = 0;
    const demandStep = stepHeldLimits(
      node.held,
      { kind: 'demand', inFlight: [inFlightEntry] },
      now,
    );
    node.held = demandStep.state;
    for (const { to } of demandStep.actions) {
      sendMessage(now, to.node, (target) => {
        const event = { kind: 'demand', node: node.id, demand: to.message } as const;
        const ownerStep = stepCreditOwner(target.owner, event, clock);
        target.owner = ownerStep.state;
        for (const action of ownerStep.actions) {
          if (action.kind === 'send' && action.to.message.kind === 'credit-grant') {
            const grant = action.to.message;
            sendMessage(clock, node.id, (requester) => {
              const grantEvent = { kind: 'grant', owner: target.id, grant } as const;
              requester.held = stepHeldLimits(requester.held, grantEvent, clock).state;
            });
          }
        }
      });
    }
  };
  const dueMessages = (id: string) =>
    inTransit.filter(({ at, to }) => at <= clock && to === id).sort((a, b) => a.at - b.at);
  changeOwner(0, 'n0');
  for (; clock < 40_000; clock += 50) {
    if (warm ? random() < 0.002 : random() < 0.01) {
      warm = !warm;
      warmChangedAt = clock;
    }
    if (random() < 0.004) {
      changeOwner(clock, [...live][Math.floor(random() * live.size)] ?? 'n0');
    }
    if (dyingNode === undefined && random() < 0.001) {
      dyingNode = nodes.get('n0');
    }
    // The other nodes count a dead node as gone after 3 s; from then on it owns nothing.
    if (dyingNode !== undefined && live.has(dyingNode.id) && (deadForMs += 50) >= 3000) {
      live.delete(dyingNode.id);
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
      if (clock < node.frozenUntil || node === dyingNode) {
        continue;
      }
      for (const message of dueMessages(node.id)) {
        inTransit.splice(inTransit.indexOf(message), 1);
        message.deliver(node);
      }
      stepNode(clock, node);
      if ((clock + index * 100) % 500 === 0) {
        sendDemands(clock, node);
      }
      if (random() < 0.001) {
        node.frozenUntil = clock + random() * 6000;
      }
    }
  }
  return worst;
};

describe('limits of all nodes', () => {
  it('never exceed the capacity together under lost and late messages, owner changes and freezes', () => {
    fc.assert(
      fc.property(fc.integer({ min: 1, max: 1_000_000 }), (seed) => worstOverrun(seed) <= 0),
      { seed: 1, numRuns: 200 },
    );
  });
});
