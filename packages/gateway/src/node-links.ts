import type { Clock } from '@zinniagrade/clock';
import {
  connectFrames,
  encodeMessage,
  listenFrames,
  type ConnectionHandlers,
  type FrameConnection,
} from '@zinniagrade/frames';
import type { Log } from './log.js';
import { decodeNodeMessage, encodeNodeMessage, type NodeMessage } from './node-message.js';
import type { NodeEntry } from './cluster-state.js';

export interface NodeLinkOptions {
  readonly node: string;
  /** Address to listen at, as IP:PORT. */
  readonly address: string;
  /** Secret shared by all nodes, with which they authenticate each other. */
  readonly secret: string;
  /** Nodes to stay connected to. */
  readonly peers: () => Iterable<NodeEntry>;
  readonly onMessage: (node: string, message: NodeMessage) => void;
  readonly onOpen: (node: string) => void;
  readonly onLost: (node: string) => void;
}

/** Connections to other nodes, one for each pair of nodes. */
export interface NodeLinks {
  /** Sends one message to several nodes; skips nodes without a connection. */
  readonly send: (nodes: readonly string[], message: NodeMessage) => void;
  /** Nodes with an open connection. */
  readonly connected: () => readonly string[];
  readonly close: () => void;
}

const dialIntervalMs = 300;
/**
 * Nodes send a heartbeat twice a second; a link without messages for this long is closed and
 * reopened.
 */
const linkTimeoutMs = 1500;

interface Link {
  readonly connection: FrameConnection;
  lastMessageAtMs: number;
}

const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

export const NodeLinks = {
  create: async (clock: Clock, log: Log, options: NodeLinkOptions): Promise<NodeLinks> => {
    const links = new Map<string, Link>();
    const dialing = new Map<string, () => void>();

    const removeLink = (connection: FrameConnection, reason: string): void => {
      const link = links.get(connection.peer);
      if (link?.connection !== connection) {
        return;
      }
      links.delete(connection.peer);
      log.event('node link lost', { to: connection.peer, reason });
      options.onLost(connection.peer);
    };

    const createEvents = (onClosed: () => void): ConnectionHandlers => ({
      onOpen: (connection) => {
        links.get(connection.peer)?.connection.close();
        links.set(connection.peer, { connection, lastMessageAtMs: clock.monotonicMs() });
        log.event('node link opened', { to: connection.peer });
        options.onOpen(connection.peer);
      },
      onMessage: (connection, document) => {
        const link = links.get(connection.peer);
        const message = decodeNodeMessage(document);
        if (link?.connection !== connection || message === undefined) {
          return;
        }
        link.lastMessageAtMs = clock.monotonicMs();
        options.onMessage(connection.peer, message);
      },
      onPart: (connection) => {
        const link = links.get(connection.peer);
        if (link?.connection === connection) {
          link.lastMessageAtMs = clock.monotonicMs();
        }
      },
      onClose: (connection, failure) => {
        onClosed();
        if (connection !== undefined) {
          removeLink(connection, failure?.detail ?? 'closed');
        }
      },
    });

    const settings = { secret: options.secret, name: options.node };

    const dial = (entry: NodeEntry, address: string): void => {
      const { close } = connectFrames(
        splitAddress(address),
        settings,
        createEvents(() => dialing.delete(entry.node)),
      );
      dialing.set(entry.node, close);
    };

    const check = (): void => {
      const nowMs = clock.monotonicMs();
      for (const { connection, lastMessageAtMs } of [...links.values()]) {
        if (nowMs - lastMessageAtMs > linkTimeoutMs) {
          removeLink(connection, 'silent');
          connection.close();
        }
      }
      for (const entry of options.peers()) {
        // The node with the lower name dials, so that each pair has one connection.
        const isDialer = options.node < entry.node && entry.nodeAddress !== undefined;
        if (isDialer && !links.has(entry.node) && !dialing.has(entry.node)) {
          dial(entry, entry.nodeAddress);
        }
      }
    };

    const server = await listenFrames(
      splitAddress(options.address),
      settings,
      createEvents(() => undefined),
    );
    const cancel = clock.every(dialIntervalMs, check);
    check();

    return {
      send: (nodes, message) => {
        const encoded = encodeMessage(encodeNodeMessage(message));
        encoded.caseOf({
          Left: ({ detail }) => {
            log.event('failed to encode node message', { reason: detail, kind: message.kind });
          },
          Right: (bytes) => {
            for (const node of nodes) {
              links.get(node)?.connection.sendEncoded(bytes);
            }
          },
        });
      },
      connected: () => [...links.keys()],
      close: () => {
        cancel();
        for (const close of dialing.values()) {
          close();
        }
        for (const { connection } of links.values()) {
          connection.close();
        }
        void server.close();
      },
    };
  },
};
