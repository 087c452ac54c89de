import type { CreditOwnerAction, CreditOwnerState, HeldLimits as Held } from '@zinniagrade/credits';
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
import type { World } from './world.js';

export const nodeName = (node: number): string => `node-${node}`;

export const memberOf = (world: World, node: number): Member => {
  const dataCentres = Object.keys(world.deployment.configuration.dataCentres);
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

/** What a node's control part does for its credits: owner and holder, over the links of the world. */
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
  world: World,
  node: number,
  peer: (node: number) => NodeCredits | undefined,
): NodeCredits => {
  const { configuration, linkMs } = world.deployment;
  const self = memberOf(world, node);
  let owner: CreditOwnerState = CreditOwner.create(self.nodeId, world.now());
  let held: Held = HeldLimits.create(sequenceStart, world.now());
  let table = RoutingTable.create(self.nodeId, self.dataCentre, { configuration, members: [] });
  // The nodes do not send their demands at the same moment.
  let demandAt = world.now() + ((node * 60) % creditIntervalMs);

  const send = (nodeId: string, message: Message): void => {
    const to = Number(nodeId.slice(nodeName(0).length - 1));
    const delayMs = to === node ? 0 : linkMs * (1 + world.random());
    world.post(to, delayMs, () => peer(to)?.receive(node, message), to !== node);
  };
  const stepOwner = (event: Parameters<typeof stepCreditOwner>[1]): void => {
    const result = stepCreditOwner(owner, event, world.now());
    owner = result.state;
    for (const action of result.actions) {
      if (action.kind === 'send') {
        send(action.to.node, action.to.message);
      } else if (action.kind === 'poll-load') {
        poll(action.upstream);
      }
    }
  };
  const poll = (upstream: UpstreamId): void => {
    const report = world.report(upstream);
    if (report !== undefined) {
      world.post(node, linkMs, () => {
        stepOwner({ kind: 'load-report', upstream, report });
      });
    }
  };
  const stepHeld = (event: Parameters<typeof stepHeldLimits>[1]): void => {
    const result = stepHeldLimits(held, event, world.now());
    held = result.state;
    for (const action of result.actions) {
      send(action.to.node, action.to.message);
    }
  };

  return {
    limits: () => currentLimits(held, configuration.upstreams, table.members.length, world.now()),
    table: () => table,
    setMembers: (members) => {
      table = RoutingTable.update(table, { configuration, members });
      const live = members.filter(({ status }) => status !== 'gone').map(({ nodeId }) => nodeId);
      stepHeld({
        kind: 'owners',
        owners: Object.fromEntries(table.owners),
        liveNodes: new Set(live),
      });
      const owned = table.owned.map((upstream) => ({ upstream, learnedAs: upstream.kind }));
      stepOwner({ kind: 'ownership', owned, regionNodes: live });
    },
    tick: (takeInFlight) => {
      stepOwner({ kind: 'tick' });
      if (world.now() >= demandAt) {
        demandAt += creditIntervalMs * Math.ceil((world.now() - demandAt + 1) / creditIntervalMs);
        stepHeld({ kind: 'demand', inFlight: [...table.owners.keys()].map(takeInFlight) });
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

/** The node that owns an upstream when the given nodes are alive. */
export const ownerNodeOf = (
  world: World,
  upstream: UpstreamId,
  alive: readonly number[],
): number => {
  const members = alive.map((node) => memberOf(world, node));
  const dataCentre = world.deployment.configuration.upstreams[upstream]?.dataCentre ?? '';
  const owner = ownerOf(upstream, dataCentre, 'region', OwnerCandidates.create(members));
  return members.findIndex(({ nodeId }) => nodeId === owner);
};
