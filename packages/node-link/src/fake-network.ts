import type { Clock, Random } from '@zinniagrade/clock';
import { encodeFrame } from '@zinniagrade/frames';
import type { Milliseconds, NodeId, NodeMessage } from '@zinniagrade/types';
import { toWire } from './wire-format.js';
import type { LinkAddress, LinkEvents, NodeLink, NodeLinkOpener } from './node-link.js';

const redialIntervalMs: Milliseconds = 500;
/** As with sockets: a wanted link without messages for this time is closed. */
const wantedSilenceTimeoutMs: Milliseconds = 3000;

interface FakeEndpoint {
  readonly nodeId: NodeId;
  readonly events: LinkEvents;
  readonly dispatch: (deliver: () => void) => void;
  wanted: ReadonlyMap<NodeId, LinkAddress>;
  readonly peers: Map<NodeId, { lastReceivedAt: Milliseconds; nextDeliveryAt: Milliseconds }>;
  isOpen: boolean;
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
}

export interface FakeNetworkOptions {
  readonly minDelayMs: Milliseconds;
  readonly maxDelayMs: Milliseconds;
}

/** In-memory node links, on any clock, for tests and measurements. */
export interface FakeNetwork {
  /** `dispatch` runs the handlers of what arrives; that of a frozen process defers them. */
  readonly open: (
    nodeId: NodeId,
    address: LinkAddress,
    dispatch?: (deliver: () => void) => void,
  ) => NodeLinkOpener;
  /** Sets which pairs of nodes can't reach each other. Messages between them are lost. */
  readonly setPartition: (isPartitioned: (a: NodeId, b: NodeId) => boolean) => void;
  /** Closes the links of a node without a leave message. */
  readonly kill: (nodeId: NodeId) => void;
  readonly usage: (nodeId: NodeId) => {
    readonly sentBytes: number;
    readonly receivedBytes: number;
    readonly sentMessages: number;
  };
}

/** Frame sizes by message, so that a message sent to many nodes is encoded once. */
const frameSizes = new WeakMap<NodeMessage, number>();
const frameSize = (message: NodeMessage): number => {
  const known = frameSizes.get(message);
  if (known !== undefined) {
    return known;
  }
  const bytes = encodeFrame(toWire(message)).caseOf({
    Left: () => -1,
    Right: ({ length }) => length,
  });
  frameSizes.set(message, bytes);
  return bytes;
};

export const FakeNetwork = {
  create: (clock: Clock, random: Random, options: FakeNetworkOptions): FakeNetwork => {
    const endpoints = new Map<NodeId, FakeEndpoint>();
    const nodeByAddress = new Map<string, NodeId>();
    let isPartitioned: (a: NodeId, b: NodeId) => boolean = () => false;
    const addressKey = ({ host, port }: LinkAddress): string => `${host}:${port}`;
    const delay = (): Milliseconds =>
      options.minDelayMs + random() * (options.maxDelayMs - options.minDelayMs);
    const now = (): Milliseconds => clock.monotonicMs();

    const disconnect = (a: FakeEndpoint, b: NodeId): void => {
      if (a.peers.delete(b) && a.isOpen) {
        a.dispatch(() => {
          a.events.onDown(b);
        });
      }
    };

    const connect = (a: FakeEndpoint, address: LinkAddress): void => {
      clock.after(2 * delay(), () => {
        const b = endpoints.get(nodeByAddress.get(addressKey(address)) ?? '');
        if (
          b === undefined ||
          b === a ||
          !a.isOpen ||
          !b.isOpen ||
          isPartitioned(a.nodeId, b.nodeId)
        ) {
          return;
        }
        for (const [endpoint, other] of [
          [a, b],
          [b, a],
        ] as const) {
          const peer = endpoint.peers.get(other.nodeId);
          endpoint.peers.set(other.nodeId, {
            lastReceivedAt: now(),
            nextDeliveryAt: peer?.nextDeliveryAt ?? 0,
          });
          if (peer === undefined) {
            endpoint.dispatch(() => {
              endpoint.events.onUp(other.nodeId);
            });
          }
        }
      });
    };

    const maintainWanted = (endpoint: FakeEndpoint): void => {
      for (const [id, { lastReceivedAt }] of endpoint.peers) {
        if (endpoint.wanted.has(id) && now() - lastReceivedAt > wantedSilenceTimeoutMs) {
          disconnect(endpoint, id);
        }
      }
      for (const [id, address] of endpoint.wanted) {
        if (!endpoint.peers.has(id)) {
          connect(endpoint, address);
        }
      }
    };

    const send = (endpoint: FakeEndpoint, to: NodeId, message: NodeMessage): boolean => {
      const peer = endpoint.peers.get(to);
      const bytes = frameSize(message);
      if (peer === undefined || bytes < 0 || !endpoint.isOpen) {
        return false;
      }
      endpoint.sentBytes += bytes;
      endpoint.sentMessages += 1;
      if (isPartitioned(endpoint.nodeId, to)) {
        return true;
      }
      peer.nextDeliveryAt = Math.max(peer.nextDeliveryAt, now() + delay());
      clock.after(peer.nextDeliveryAt - now(), () => {
        const target = endpoints.get(to);
        const targetPeer = target?.peers.get(endpoint.nodeId);
        if (
          target?.isOpen !== true ||
          targetPeer === undefined ||
          isPartitioned(endpoint.nodeId, to)
        ) {
          return;
        }
        targetPeer.lastReceivedAt = now();
        target.receivedBytes += bytes;
        target.dispatch(() => {
          target.events.onMessage(endpoint.nodeId, message);
        });
      });
      return true;
    };

    const close = (endpoint: FakeEndpoint): void => {
      endpoint.isOpen = false;
      for (const id of endpoint.peers.keys()) {
        const other = endpoints.get(id);
        if (other !== undefined && !isPartitioned(id, endpoint.nodeId)) {
          disconnect(other, endpoint.nodeId);
        }
      }
      endpoint.peers.clear();
    };

    const createLink = (endpoint: FakeEndpoint, port: number): NodeLink => {
      const cancel = clock.every(redialIntervalMs, () => {
        maintainWanted(endpoint);
      });
      return {
        port,
        setWanted: (wanted) => {
          endpoint.wanted = wanted;
          maintainWanted(endpoint);
        },
        dial: (address) => {
          connect(endpoint, address);
        },
        send: (node, message) => send(endpoint, node, message),
        isOpen: (node) => endpoint.peers.has(node),
        byteCounts: () => ({ sent: endpoint.sentBytes, received: endpoint.receivedBytes }),
        close: () => {
          cancel();
          close(endpoint);
          return Promise.resolve();
        },
      };
    };

    return {
      open: (nodeId, address, dispatch) => (events) => {
        const endpoint: FakeEndpoint = {
          nodeId,
          events,
          dispatch:
            dispatch ??
            ((deliver) => {
              deliver();
            }),
          wanted: new Map(),
          peers: new Map(),
          isOpen: true,
          sentBytes: 0,
          receivedBytes: 0,
          sentMessages: 0,
        };
        endpoints.set(nodeId, endpoint);
        nodeByAddress.set(addressKey(address), nodeId);
        return Promise.resolve(createLink(endpoint, address.port));
      },
      setPartition: (newPartition) => {
        isPartitioned = newPartition;
      },
      kill: (nodeId) => {
        const endpoint = endpoints.get(nodeId);
        if (endpoint !== undefined) {
          close(endpoint);
        }
      },
      usage: (nodeId) => {
        const { sentBytes = 0, receivedBytes = 0, sentMessages = 0 } = endpoints.get(nodeId) ?? {};
        return { sentBytes, receivedBytes, sentMessages };
      },
    };
  },
};
