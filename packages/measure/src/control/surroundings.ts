import type { VirtualClock } from '@zinniagrade/clock';
import { ownableOf } from '@zinniagrade/control';
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

const beatMs: Milliseconds = 500;
/** 12,000 changes a day. */
const changeEveryMs: Milliseconds = 7200;
/** 1,479 failures and replacements a day, each with about 3 changes of a member. */
const memberChangeEveryMs: Milliseconds = 19_500;
/** Each node asks 8 owners for each of 6 models, so each owner is asked about as often. */
const nodesThatAsk = 48;
/** A node has work on some of the upstreams that it may use; it asks for the idle ones half as often. */
const busyOneIn = 4;

/** A node's use of one upstream with this many requests in flight. */
export const useOf = (upstream: UpstreamId, requests: number): UpstreamUsage => ({
  upstream,
  requests,
  memoryTokens: requests * 4000,
  wantedRequests: requests,
  wantedMemoryTokens: requests * 4000,
  completed: requests > 0 ? 1 : 0,
  failed: 0,
  ...(requests > 0 ? { firstTokenMs: 300, betweenTokensMs: 40 } : {}),
});

/** The other 729 nodes, as one node hears of them. */
export interface Surroundings {
  readonly open: NodeLinkOpener;
  readonly use: () => { readonly sent: number; readonly received: number };
  readonly close: () => void;
}

export const Surroundings = {
  create: (
    clock: VirtualClock,
    self: Member,
    others: readonly Member[],
    configuration: Configuration,
  ): Surroundings => {
    const { nodeId, dataCentre } = self;
    let sent = 0;
    let received = 0;
    let wanted: readonly NodeId[] = [];
    let last: Heartbeat | undefined;
    let sequence = 1_000_000;
    let deliver: (from: NodeId, message: NodeMessage) => void = () => undefined;
    const cancels: (() => void)[] = [];
    const reader = FrameReader.create();

    /** Through the codec and the check of messages, as over a socket. */
    const arrive = (from: NodeId, message: NodeMessage): void => {
      encodeFrame(toWire(message)).ifRight((frame) => {
        received += frame.length;
        for (const decoded of reader.push(frame).orDefault([])) {
          deliver(from, nodeMessageSchema.parse(fromWire(decoded)));
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
        last = message;
      }
      if (message.kind === 'credit-demand') {
        clock.after(2, () => {
          arrive(to, grantFor(message));
        });
      }
      return true;
    };

    const beat = (): void => {
      if (last === undefined) {
        return;
      }
      for (const from of wanted.slice(0, 8)) {
        const incarnation = others.find((member) => member.nodeId === from)?.incarnation ?? 0;
        arrive(from, { ...last, incarnation, sentAt: clock.wallMs(), confirmationAgeMs: 300 });
      }
    };

    /** Upstreams that the node owns, by model; a node that asks does so for one model. */
    const ownedByModel = (): readonly (readonly UpstreamId[])[] => {
      const byModel = new Map<string, UpstreamId[]>();
      const inputs = { configuration, members: [self, ...others] };
      const table = RoutingTable.create(nodeId, dataCentre, inputs);
      for (const { upstream, learnedAs } of ownableOf(table)) {
        byModel.set(learnedAs, [...(byModel.get(learnedAs) ?? []), upstream.id]);
      }
      return [...byModel.values()];
    };
    let owned: readonly (readonly UpstreamId[])[] | undefined;
    const ask = (): void => {
      owned ??= ownedByModel();
      sequence += 1;
      for (const [index, member] of others.slice(0, nodesThatAsk).entries()) {
        const isBusy = index % busyOneIn === 0;
        if (isBusy || sequence % 2 === 0) {
          const ownedIds = owned[index % owned.length] ?? [];
          const inFlight = ownedIds.map((upstream) => useOf(upstream, isBusy ? 2 : 0));
          arrive(member.nodeId, { kind: 'credit-demand', sequence, inFlight });
        }
      }
    };

    let revision = configuration.revision;
    const change = (): void => {
      revision += 1;
      const upstream = Object.values(configuration.upstreams)[revision];
      if (upstream !== undefined && wanted[0] !== undefined) {
        arrive(wanted[0], {
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
    const replaceMember = (): void => {
      const member = others.at(-1);
      incarnation += 1;
      if (member !== undefined && wanted[0] !== undefined) {
        const members = [{ ...member, incarnation: member.incarnation + incarnation }];
        arrive(wanted[0], { kind: 'member-update', members });
      }
    };

    return {
      open: (events) => {
        deliver = events.onMessage;
        cancels.push(
          clock.every(beatMs, beat),
          clock.every(beatMs, ask),
          clock.every(changeEveryMs, change),
          clock.every(memberChangeEveryMs, replaceMember),
        );
        const link: NodeLink = {
          port: 7000,
          setWanted: (next) => {
            wanted = [...next.keys()];
          },
          dial: () => undefined,
          send,
          isOpen: () => true,
          byteCounts: () => ({ sent, received }),
          close: () => Promise.resolve(),
        };
        return Promise.resolve(link);
      },
      use: () => ({ sent, received }),
      close: () => {
        for (const cancel of cancels) {
          cancel();
        }
      },
    };
  },
};
