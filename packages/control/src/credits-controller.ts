import {
  CreditOwner,
  HeldLimits,
  type CreditOwnerAction,
  type CreditOwnerEvent,
  type HeldLimitsEvent,
  type UpstreamOwnership,
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
import type { ControlDependencies } from './control-dependencies.js';

/**
 * Runs both sides of the limits on one node: it grants limits for upstreams that it owns, and
 * requests limits from owners.
 */
export interface CreditsController {
  /** After a change of members or configuration. */
  readonly onChange: (configuration: Configuration, present: readonly Member[]) => void;
  readonly onMessage: (from: NodeId, message: CreditDemand | CreditGrant) => void;
  /** Due every 100 ms. */
  readonly tick: () => void;
  /**
   * Called when the node was isolated: other nodes may have granted the capacity of its upstreams
   * since.
   */
  readonly onIsolated: () => void;
  readonly limits: () => ReadonlyMap<UpstreamId, HeldLimit>;
  /** Latest load reports of the upstreams that this node owns. */
  readonly loadReports: () => ReadonlyMap<UpstreamId, LoadReport>;
  readonly wantedNodes: () => readonly NodeId[];
}

type Dependencies = Pick<
  ControlDependencies,
  'clock' | 'counters' | 'event' | 'dataPath' | 'readLoad'
>;

/** Latencies are learned per model, or per service for a plain upstream. */
const latencyKeyOf = ({ services }: Configuration, upstream: Upstream): string => {
  const [first = upstream.id] = upstream.services;
  return services[first]?.model ?? first;
};

const idleInFlight = (upstream: UpstreamId): UpstreamUsage => ({
  upstream,
  requests: 0,
  memoryTokens: 0,
  wantedRequests: 0,
  wantedMemoryTokens: 0,
  completed: 0,
  failed: 0,
});

/** The upstreams that a node owns, with the keys under which their latencies are learned. */
export const upstreamOwnerships = ({
  configuration,
  ownedUpstreams,
}: RoutingTable): readonly UpstreamOwnership[] =>
  ownedUpstreams.map((upstream) => ({
    upstream,
    latencyKey: latencyKeyOf(configuration, upstream),
  }));

export const CreditsController = {
  create: (
    self: Pick<Member, 'nodeId' | 'region' | 'dataCentre' | 'processIncarnation'>,
    link: NodeLink,
    dependencies: Dependencies,
    onViewChange: () => void,
  ): CreditsController => {
    const { clock, counters, event, dataPath, readLoad } = dependencies;
    const { nodeId, region, dataCentre } = self;
    const now = (): Milliseconds => clock.monotonicMs();
    let ownerState = CreditOwner.create(nodeId, now());
    let heldLimits = HeldLimits.create(self.processIncarnation, now());
    let configuration: Configuration | undefined;
    let table: RoutingTable | undefined;
    let memberCount = 1;
    let candidateOwners: Readonly<Record<UpstreamId, NodeId>> = {};
    let nextDemandAt = 0;
    let includesIdle = false;
    /**
     * Applied at the next tick, as many members can change at once and each application goes
     * through all upstreams.
     */
    let pendingChange: { next: Configuration; present: readonly Member[] } | undefined;
    const reports = new Map<UpstreamId, LoadReport>();
    const pollingIds = new Set<UpstreamId>();

    const deliver = (to: NodeId, message: CreditDemand | CreditGrant): void => {
      if (to === nodeId) {
        onMessage(nodeId, message);
      } else {
        link.send(to, message);
      }
    };

    const pollLoad = async (id: UpstreamId): Promise<void> => {
      const upstream = ownerState.owned[id]?.upstream;
      if (upstream === undefined || pollingIds.has(id)) {
        return;
      }
      pollingIds.add(id);
      const result = await readLoad(upstream);
      pollingIds.delete(id);
      result
        .ifLeft(() => {
          counters.increment('load-poll-failures');
        })
        .ifRight((report) => {
          if (ownerState.owned[id] !== undefined) {
            reports.set(id, report);
            stepOwner({ kind: 'load-report', upstream: id, report });
            onViewChange();
          }
        });
    };

    const applyOwnerAction = (action: CreditOwnerAction): void => {
      switch (action.kind) {
        case 'send': {
          const { node, message } = action.to;
          if (message.kind === 'credit-grant' || message.kind === 'credit-demand') {
            deliver(node, message);
          }
          return;
        }
        case 'poll-load':
          void pollLoad(action.upstream);
          return;
        case 'capacity-changed': {
          const { upstream, slots, warm } = action;
          event('upstream-capacity-changed', { upstream, slots, warm });
        }
      }
    };

    const stepOwner = (ownerEvent: CreditOwnerEvent): void => {
      const step = stepCreditOwner(ownerState, ownerEvent, now());
      ownerState = step.state;
      for (const action of step.actions) {
        applyOwnerAction(action);
      }
    };

    const stepHeld = (heldEvent: HeldLimitsEvent): void => {
      const before = heldLimits;
      const step = stepHeldLimits(heldLimits, heldEvent, now());
      heldLimits = step.state;
      for (const { to } of step.actions) {
        deliver(to.node, to.message);
      }
      if (before.limits !== heldLimits.limits || before.owners !== heldLimits.owners) {
        onViewChange();
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
     * Sends demands for upstreams with work in flight, and every second time for idle ones too.
     * That suffices to keep their limits, which lapse after 2 s, and most upstreams that a node may
     * use are idle.
     */
    const sendDemands = (): void => {
      const inFlight = dataPath.collectInFlight();
      const busyIds = new Set(inFlight.map(({ upstream }) => upstream));
      includesIdle = !includesIdle;
      const idleIds = includesIdle
        ? Object.keys(candidateOwners).filter((id) => !busyIds.has(id))
        : [];
      stepHeld({ kind: 'demand', inFlight: [...inFlight, ...idleIds.map(idleInFlight)] });
    };

    const applyChange = (next: Configuration, present: readonly Member[]): void => {
      configuration = next;
      const inputs = { configuration: next, members: present };
      const liveMembers = present.filter(
        ({ status }) => status === 'alive' || status === 'suspect',
      );
      const regionNodes = liveMembers.filter((member) => member.region === region);
      memberCount = regionNodes.length;
      // The same table as routing uses, so that the node requests exactly the limits that it can use.
      table = RoutingTable.create(nodeId, dataCentre, inputs, table);
      const owned = upstreamOwnerships(table);
      candidateOwners = Object.fromEntries(table.candidateOwners);
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
        owners: candidateOwners,
        liveNodes: new Set(liveMembers.map((member) => member.nodeId)),
      });
    };

    return {
      onChange: (next, present) => {
        pendingChange = { next, present };
      },
      onMessage,
      tick: () => {
        if (pendingChange !== undefined) {
          applyChange(pendingChange.next, pendingChange.present);
          pendingChange = undefined;
        }
        stepOwner({ kind: 'tick' });
        stepHeld({ kind: 'tick' });
        if (now() >= nextDemandAt) {
          nextDemandAt = now() + creditIntervalMs;
          sendDemands();
        }
      },
      onIsolated: () => {
        stepOwner({ kind: 'restart' });
      },
      limits: () => currentLimits(heldLimits, configuration?.upstreams ?? {}, memberCount, now()),
      loadReports: () => new Map(reports),
      wantedNodes: () => [...new Set(Object.values(candidateOwners))].filter((id) => id !== nodeId),
    };
  },
};
