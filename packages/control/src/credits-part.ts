import {
  CreditOwner,
  HeldLimits,
  type CreditOwnerAction,
  type CreditOwnerEvent,
  type HeldLimitsEvent,
  type Ownable,
  creditIntervalMs,
  currentLimits,
  stepCreditOwner,
  stepHeldLimits,
} from '@zinniagrade/credits';
import type { NodeLink } from '@zinniagrade/node-link';
import { RoutingTable } from '@zinniagrade/routing';
import type {
  Configuration,
  CreditDemand,
  CreditGrant,
  HeldLimit,
  UpstreamUsage,
  LoadReport,
  Member,
  Milliseconds,
  NodeId,
  Upstream,
  UpstreamId,
} from '@zinniagrade/types';
import type { ControlParts } from './control-options.js';

/** Runs the limits of one node: as an owner of upstreams, and as a node that asks the owners. */
export interface CreditsPart {
  /** After a change of members or configuration. */
  readonly onChange: (configuration: Configuration, present: readonly Member[]) => void;
  readonly onMessage: (from: NodeId, message: CreditDemand | CreditGrant) => void;
  /** Due every 100 ms. */
  readonly tick: () => void;
  /** The node was isolated; everything that it granted may have been granted by others since. */
  readonly onIsolated: () => void;
  readonly limits: () => ReadonlyMap<UpstreamId, HeldLimit>;
  /** Reports of the upstreams that this node owns. */
  readonly loadReports: () => ReadonlyMap<UpstreamId, LoadReport>;
  readonly wanted: () => readonly NodeId[];
}

type Parts = Pick<ControlParts, 'clock' | 'counters' | 'event' | 'dataPath' | 'readLoad'>;

/** Normal times are learned per model, or per service for a plain upstream. */
const learnedAs = ({ services }: Configuration, upstream: Upstream): string => {
  const [first = upstream.id] = upstream.services;
  return services[first]?.model ?? first;
};

const idleUse = (upstream: UpstreamId): UpstreamUsage => ({
  upstream,
  requests: 0,
  memoryTokens: 0,
  wantedRequests: 0,
  wantedMemoryTokens: 0,
  completed: 0,
  failed: 0,
});

/** The upstreams that a node owns, with what their normal times are learned as. */
export const ownableOf = ({ configuration, owned }: RoutingTable): readonly Ownable[] =>
  owned.map((upstream) => ({ upstream, learnedAs: learnedAs(configuration, upstream) }));

export const CreditsPart = {
  create: (
    self: Pick<Member, 'nodeId' | 'region' | 'dataCentre' | 'processIncarnation'>,
    link: NodeLink,
    parts: Parts,
    onView: () => void,
  ): CreditsPart => {
    const { clock, counters, event, dataPath, readLoad } = parts;
    const { nodeId, region, dataCentre } = self;
    const now = (): Milliseconds => clock.monotonicMs();
    let owner = CreditOwner.create(nodeId, now());
    let held = HeldLimits.create(self.processIncarnation, now());
    let configuration: Configuration | undefined;
    let table: RoutingTable | undefined;
    let memberCount = 1;
    let asked: Readonly<Record<UpstreamId, NodeId>> = {};
    let demandAt = 0;
    let isIdleTurn = false;
    /** Applied at the next tick: many members can change at once, and each change costs a look at all
     * upstreams. */
    let changed: { next: Configuration; present: readonly Member[] } | undefined;
    const reports = new Map<UpstreamId, LoadReport>();
    const polling = new Set<UpstreamId>();

    const deliver = (to: NodeId, message: CreditDemand | CreditGrant): void => {
      if (to === nodeId) {
        onMessage(nodeId, message);
      } else {
        link.send(to, message);
      }
    };

    const poll = async (id: UpstreamId): Promise<void> => {
      const upstream = owner.owned[id]?.upstream;
      if (upstream === undefined || polling.has(id)) {
        return;
      }
      polling.add(id);
      const result = await readLoad(upstream);
      polling.delete(id);
      result
        .ifLeft(() => {
          counters.increment('load-poll-failures');
        })
        .ifRight((report) => {
          if (owner.owned[id] !== undefined) {
            reports.set(id, report);
            stepOwner({ kind: 'load-report', upstream: id, report });
            onView();
          }
        });
    };

    const applyOwner = (action: CreditOwnerAction): void => {
      switch (action.kind) {
        case 'send': {
          const { node, message } = action.to;
          if (message.kind === 'credit-grant' || message.kind === 'credit-demand') {
            deliver(node, message);
          }
          return;
        }
        case 'poll-load':
          void poll(action.upstream);
          return;
        case 'capacity-changed': {
          const { upstream, slots, warm } = action;
          event('upstream-capacity-changed', { upstream, slots, warm });
        }
      }
    };

    const stepOwner = (ownerEvent: CreditOwnerEvent): void => {
      const step = stepCreditOwner(owner, ownerEvent, now());
      owner = step.state;
      for (const action of step.actions) {
        applyOwner(action);
      }
    };

    const stepHeld = (heldEvent: HeldLimitsEvent): void => {
      const before = held;
      const step = stepHeldLimits(held, heldEvent, now());
      held = step.state;
      for (const { to } of step.actions) {
        deliver(to.node, to.message);
      }
      if (before.limits !== held.limits || before.owners !== held.owners) {
        onView();
      }
    };

    const onMessage = (from: NodeId, message: CreditDemand | CreditGrant): void => {
      if (message.kind === 'credit-demand') {
        stepOwner({ kind: 'demand', node: from, demand: message });
      } else {
        stepHeld({ kind: 'grant', owner: from, grant: message });
      }
    };

    /**
     * Work in flight, and every second time also the idle upstreams: a limit lapses
     * after 2 s without a demand, and most of the upstreams that a node may use are idle.
     */
    const demand = (): void => {
      const inFlight = dataPath.takeInFlight();
      const busy = new Set(inFlight.map(({ upstream }) => upstream));
      isIdleTurn = !isIdleTurn;
      const idle = isIdleTurn ? Object.keys(asked).filter((id) => !busy.has(id)) : [];
      stepHeld({ kind: 'demand', inFlight: [...inFlight, ...idle.map(idleUse)] });
    };

    const applyChange = (next: Configuration, present: readonly Member[]): void => {
      configuration = next;
      const inputs = { configuration: next, members: present };
      const live = present.filter(({ status }) => status === 'alive' || status === 'suspect');
      const regionNodes = live.filter((member) => member.region === region);
      memberCount = regionNodes.length;
      // The table that routing uses, so that a node asks for exactly the limits that it can use.
      table = RoutingTable.create(nodeId, dataCentre, inputs, table);
      const owned = ownableOf(table);
      asked = Object.fromEntries(table.owners);
      for (const id of reports.keys()) {
        if (!owned.some(({ upstream }) => upstream.id === id)) {
          reports.delete(id);
        }
      }
      stepOwner({
        kind: 'ownership',
        owned,
        regionNodes: regionNodes.map((member) => member.nodeId),
      });
      stepHeld({
        kind: 'owners',
        owners: asked,
        liveNodes: new Set(live.map((member) => member.nodeId)),
      });
    };

    return {
      onChange: (next, present) => {
        changed = { next, present };
      },
      onMessage,
      tick: () => {
        if (changed !== undefined) {
          applyChange(changed.next, changed.present);
          changed = undefined;
        }
        stepOwner({ kind: 'tick' });
        stepHeld({ kind: 'tick' });
        if (now() >= demandAt) {
          demandAt = now() + creditIntervalMs;
          demand();
        }
      },
      onIsolated: () => {
        stepOwner({ kind: 'restart' });
      },
      limits: () => currentLimits(held, configuration?.upstreams ?? {}, memberCount, now()),
      loadReports: () => new Map(reports),
      wanted: () => [...new Set(Object.values(asked))].filter((id) => id !== nodeId),
    };
  },
};
