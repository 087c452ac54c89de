import type { VirtualClock } from '@zinniagrade/clock';
import { upstreamOwnerships } from '@zinniagrade/control';
import { FrameReader, encodeFrame } from '@zinniagrade/frames';
import {
  type NodeLink,
  type NodeLinkOpener,
  fromWire,
  nodeMessageSchema,
  toWire,
} from '@zinniagrade/node-link';
import { RoutingTable } from '@zinniagrade/routing';
import type {
  Configuration,
  CreditDemand,
  Heartbeat,
  UpstreamUsage,
  Member,
  Milliseconds,
  NodeId,
  NodeMessage,
  UpstreamId,
} from '@zinniagrade/types';

const heartbeatMs: Milliseconds = 500;
/** 12,000 changes a day. */
const changeIntervalMs: Milliseconds = 7200;
/** 1,479 failures and replacements a day, each with about 3 member updates. */
const memberChangeIntervalMs: Milliseconds = 19_500;
/**
 * Each node sends demands to 8 owners for each of 6 models, so each owner gets demands from about
 * 48 nodes.
 */
const demandingNodeCount = 48;
/**
 * Every fourth of these nodes has requests in flight; the others send demands for idle upstreams,
 * half as often.
 */
const busyNodeInterval = 4;

/** A node's usage of one upstream with this many requests in flight. */
export const usageOf = (upstream: UpstreamId, requests: number): UpstreamUsage => ({
  upstream,
  requests,
  memoryTokens: requests * 4000,
  wantedRequests: requests,
  wantedMemoryTokens: requests * 4000,
  completed: requests > 0 ? 1 : 0,
  failed: 0,
  ...(requests > 0 ? { firstTokenMs: 300, betweenTokensMs: 40 } : {}),
});

/** The other 729 nodes, reduced to the messages that one node exchanges with them. */
export interface SimulatedPeers {
  readonly openLink: NodeLinkOpener;
  readonly bytes: () => { readonly sent: number; readonly received: number };
  readonly close: () => void;
}

export const SimulatedPeers = {
  create: (
    clock: VirtualClock,
    self: Member,
    others: readonly Member[],
    configuration: Configuration,
  ): SimulatedPeers => {
    const { nodeId, dataCentre } = self;
    let sent = 0;
    let received = 0;
    let linkedNodes: readonly NodeId[] = [];
    let lastHeartbeat: Heartbeat | undefined;
    let sequence = 1_000_000;
    let onMessage: (from: NodeId, message: NodeMessage) => void = () => undefined;
    const cancels: (() => void)[] = [];
    const reader = FrameReader.create();

    /** Passes the message through the codec and the schema check, as a socket would. */
    const deliverToNode = (from: NodeId, message: NodeMessage): void => {
      encodeFrame(toWire(message)).ifRight((frame) => {
        received += frame.length;
        for (const decoded of reader.push(frame).orDefault([])) {
          onMessage(from, nodeMessageSchema.parse(fromWire(decoded)));
        }
      });
    };

    const grantFor = (demand: CreditDemand): NodeMessage => ({
      kind: 'credit-grant',
      sequence: demand.sequence,
      limits: demand.inFlight.map(({ upstream }) => ({
        upstream,
        slots: 2,
        memoryTokens: 10_000,
        validMs: 2000,
        warm: true,
      })),
    });

    const send = (to: NodeId, message: NodeMessage): boolean => {
      encodeFrame(toWire(message)).ifRight(({ length }) => {
        sent += length;
      });
      if (message.kind === 'heartbeat') {
        lastHeartbeat = message;
      }
      if (message.kind === 'credit-demand') {
        clock.after(2, () => {
          deliverToNode(to, grantFor(message));
        });
      }
      return true;
    };

    const sendHeartbeats = (): void => {
      if (lastHeartbeat === undefined) {
        return;
      }
      for (const from of linkedNodes.slice(0, 8)) {
        const incarnation = others.find((member) => member.nodeId === from)?.incarnation ?? 0;
        deliverToNode(from, {
          ...lastHeartbeat,
          incarnation,
          sentAt: clock.wallMs(),
          confirmationAgeMs: 300,
        });
      }
    };

    /** Upstreams that the node owns, by model: each demand is for the upstreams of one model. */
    const ownedByModel = (): readonly (readonly UpstreamId[])[] => {
      const byModel = new Map<string, UpstreamId[]>();
      const inputs = { configuration, members: [self, ...others] };
      const table = RoutingTable.create(nodeId, dataCentre, inputs);
      for (const { upstream, latencyKey } of upstreamOwnerships(table)) {
        byModel.set(latencyKey, [...(byModel.get(latencyKey) ?? []), upstream.id]);
      }
      return [...byModel.values()];
    };
    let ownedUpstreams: readonly (readonly UpstreamId[])[] | undefined;
    const sendDemands = (): void => {
      ownedUpstreams ??= ownedByModel();
      sequence += 1;
      for (const [index, member] of others.slice(0, demandingNodeCount).entries()) {
        const isBusy = index % busyNodeInterval === 0;
        if (isBusy || sequence % 2 === 0) {
          const ownedIds = ownedUpstreams[index % ownedUpstreams.length] ?? [];
          const inFlight = ownedIds.map((upstream) => usageOf(upstream, isBusy ? 2 : 0));
          deliverToNode(member.nodeId, { kind: 'credit-demand', sequence, inFlight });
        }
      }
    };

    let revision = configuration.revision;
    const sendConfigurationChange = (): void => {
      revision += 1;
      const upstream = Object.values(configuration.upstreams)[revision];
      if (upstream !== undefined && linkedNodes[0] !== undefined) {
        deliverToNode(linkedNodes[0], {
          kind: 'configuration-change',
          changes: [
            {
              operationId: `o${revision}`,
              revision,
              changes: [{ kind: 'put-upstream', upstream }],
            },
          ],
        });
      }
    };

    let incarnation = 0;
    const sendMemberUpdate = (): void => {
      const member = others.at(-1);
      incarnation += 1;
      if (member !== undefined && linkedNodes[0] !== undefined) {
        const members = [{ ...member, incarnation: member.incarnation + incarnation }];
        deliverToNode(linkedNodes[0], { kind: 'member-update', members });
      }
    };

    return {
      openLink: (events) => {
        onMessage = events.onMessage;
        cancels.push(
          clock.every(heartbeatMs, sendHeartbeats),
          clock.every(heartbeatMs, sendDemands),
          clock.every(changeIntervalMs, sendConfigurationChange),
          clock.every(memberChangeIntervalMs, sendMemberUpdate),
        );
        const link: NodeLink = {
          port: 7000,
          setWanted: (next) => {
            linkedNodes = [...next.keys()];
          },
          dial: () => undefined,
          send,
          isOpen: () => true,
          byteCounts: () => ({ sent, received }),
          close: () => Promise.resolve(),
        };
        return Promise.resolve(link);
      },
      bytes: () => ({ sent, received }),
      close: () => {
        for (const cancel of cancels) {
          cancel();
        }
      },
    };
  },
};
