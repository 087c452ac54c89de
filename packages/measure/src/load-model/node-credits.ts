import type {
  CreditOwnerAction,
  CreditOwnerState,
  HeldLimits as HeldLimitsState,
} from '@zinniagrade/credits';
import {
  CreditOwner,
  HeldLimits,
  OwnerCandidates,
  creditIntervalMs,
  currentLimits,
  ownerOf,
  stepCreditOwner,
  stepHeldLimits,
} from '@zinniagrade/credits';
import { RoutingTable } from '@zinniagrade/routing';
import type { HeldLimit, UpstreamUsage, Member, UpstreamId } from '@zinniagrade/types';
import type { LoadSimulation } from './simulation.js';

export const nodeName = (node: number): string => `node-${node}`;

export const memberOf = (simulation: LoadSimulation, node: number): Member => {
  const dataCentres = Object.keys(simulation.deployment.configuration.dataCentres);
  return {
    nodeId: nodeName(node),
    incarnation: 1,
    processIncarnation: 1,
    host: '127.0.0.1',
    callerPort: 1,
    linkPort: 2,
    dataCentre: dataCentres[node % dataCentres.length] ?? '',
    region: 'region',
    status: 'alive',
  };
};

/** The credit handling of one node, as owner and as holder, over the simulated links. */
export interface NodeCredits {
  readonly limits: () => ReadonlyMap<UpstreamId, HeldLimit>;
  readonly table: () => RoutingTable;
  readonly setMembers: (members: readonly Member[]) => void;
  readonly tick: (takeInFlight: (upstream: UpstreamId) => UpstreamUsage) => void;
  readonly receive: (from: number, message: Message) => void;
}

type Message = Extract<CreditOwnerAction, { kind: 'send' }>['to']['message'];

const sequenceStart = 1_000_000;

export const createNodeCredits = (
  simulation: LoadSimulation,
  node: number,
  peer: (node: number) => NodeCredits | undefined,
): NodeCredits => {
  const { configuration, linkDelayMs } = simulation.deployment;
  const self = memberOf(simulation, node);
  let owner: CreditOwnerState = CreditOwner.create(self.nodeId, simulation.now());
  let held: HeldLimitsState = HeldLimits.create(sequenceStart, simulation.now());
  let table = RoutingTable.create(self.nodeId, self.dataCentre, { configuration, members: [] });
  // Staggered, so that the nodes do not send their demands all at once.
  let nextDemandAt = simulation.now() + ((node * 60) % creditIntervalMs);

  const send = (nodeId: string, message: Message): void => {
    const to = Number(nodeId.slice(nodeName(0).length - 1));
    const delayMs = to === node ? 0 : linkDelayMs * (1 + simulation.random());
    simulation.runOnNode(to, delayMs, () => peer(to)?.receive(node, message), to !== node);
  };
  const stepOwner = (event: Parameters<typeof stepCreditOwner>[1]): void => {
    const result = stepCreditOwner(owner, event, simulation.now());
    owner = result.state;
    for (const action of result.actions) {
      if (action.kind === 'send') {
        send(action.to.node, action.to.message);
      } else if (action.kind === 'poll-load') {
        pollLoad(action.upstream);
      }
    }
  };
  const pollLoad = (upstream: UpstreamId): void => {
    const report = simulation.loadReport(upstream);
    if (report !== undefined) {
      simulation.runOnNode(node, linkDelayMs, () => {
        stepOwner({ kind: 'load-report', upstream, report });
      });
    }
  };
  const stepHeld = (event: Parameters<typeof stepHeldLimits>[1]): void => {
    const result = stepHeldLimits(held, event, simulation.now());
    held = result.state;
    for (const action of result.actions) {
      send(action.to.node, action.to.message);
    }
  };

  return {
    limits: () =>
      currentLimits(held, configuration.upstreams, table.members.length, simulation.now()),
    table: () => table,
    setMembers: (members) => {
      table = RoutingTable.update(table, { configuration, members });
      const live = members.filter(({ status }) => status !== 'gone').map(({ nodeId }) => nodeId);
      stepHeld({
        kind: 'owners',
        owners: Object.fromEntries(table.candidateOwners),
        liveNodes: new Set(live),
      });
      const owned = table.ownedUpstreams.map((upstream) => ({
        upstream,
        latencyKey: upstream.kind,
      }));
      stepOwner({ kind: 'ownership', owned, regionNodes: live });
    },
    tick: (takeInFlight) => {
      stepOwner({ kind: 'tick' });
      if (simulation.now() >= nextDemandAt) {
        nextDemandAt +=
          creditIntervalMs * Math.ceil((simulation.now() - nextDemandAt + 1) / creditIntervalMs);
        stepHeld({ kind: 'demand', inFlight: [...table.candidateOwners.keys()].map(takeInFlight) });
      } else {
        stepHeld({ kind: 'tick' });
      }
    },
    receive: (from, message) => {
      if (message.kind === 'credit-demand') {
        stepOwner({ kind: 'demand', node: nodeName(from), demand: message });
      } else if (message.kind === 'credit-grant') {
        stepHeld({ kind: 'grant', owner: nodeName(from), grant: message });
      }
    },
  };
};

/** Index in `alive` of the node that owns an upstream when these nodes are alive. */
export const ownerNodeOf = (
  simulation: LoadSimulation,
  upstream: UpstreamId,
  alive: readonly number[],
): number => {
  const members = alive.map((node) => memberOf(simulation, node));
  const dataCentre = simulation.deployment.configuration.upstreams[upstream]?.dataCentre ?? '';
  const owner = ownerOf(upstream, dataCentre, 'region', OwnerCandidates.create(members));
  return members.findIndex(({ nodeId }) => nodeId === owner);
};
