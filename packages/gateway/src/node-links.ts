import type { Clock } from '@zinniagrade/clock';
import {
  connectFrames,
  encodeFrame,
  listenFrames,
  type ConnectionHandlers,
  type FrameConnection,
} from '@zinniagrade/frames';
import type { Log } from './log.js';
import { readNodeMessage, writeNodeMessage, type NodeMessage } from './node-message.js';
import type { NodeEntry } from './view.js';

export interface NodeLinkOptions {
  readonly node: string;
  /** Own address, as IP:PORT. */
  readonly address: string;
  /** Known to all nodes and to nobody else. */
  readonly secret: string;
  /** Nodes to keep a connection with. */
  readonly peers: () => Iterable<NodeEntry>;
  readonly onMessage: (node: string, message: NodeMessage) => void;
  readonly onOpen: (node: string) => void;
  readonly onLost: (node: string) => void;
}

/** Connections to other nodes, one for each pair. */
export interface NodeLinks {
  /** Sends one message to several nodes; those without a connection are passed over. */
  readonly send: (nodes: readonly string[], message: NodeMessage) => void;
  /** Nodes that were heard of lately. */
  readonly connected: () => readonly string[];
  readonly close: () => void;
}

const dialIntervalMs = 300;
/** Nodes speak twice a second; a link that is silent for longer is closed and opened anew. */
const silenceMs = 1500;

interface Link {
  readonly connection: FrameConnection;
  heardAtMs: number;
}

const splitAddress = (address: string): { readonly host: string; readonly port: number } => {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};

export const NodeLinks = {
  create: async (clock: Clock, log: Log, options: NodeLinkOptions): Promise<NodeLinks> => {
    const links = new Map<string, Link>();
    const dialing = new Map<string, () => void>();

    const drop = (connection: FrameConnection, reason: string): void => {
      const link = links.get(connection.peer);
      if (link?.connection !== connection) {
        return;
      }
      links.delete(connection.peer);
      log.event('node link lost', { to: connection.peer, reason });
      options.onLost(connection.peer);
    };

    const eventsOf = (onClosed: () => void): ConnectionHandlers => ({
      onOpen: (connection) => {
        links.get(connection.peer)?.connection.close();
        links.set(connection.peer, { connection, heardAtMs: clock.monotonicMs() });
        log.event('node link open', { to: connection.peer });
        options.onOpen(connection.peer);
      },
      onMessage: (connection, document) => {
        const link = links.get(connection.peer);
        const message = readNodeMessage(document);
        if (link?.connection !== connection || message === undefined) {
          return;
        }
        link.heardAtMs = clock.monotonicMs();
        options.onMessage(connection.peer, message);
      },
      onClose: (connection, failure) => {
        onClosed();
        if (connection !== undefined) {
          drop(connection, failure?.detail ?? 'closed');
        }
      },
    });

    const settings = { secret: options.secret, name: options.node };

    const dial = (entry: NodeEntry, address: string): void => {
      const { close } = connectFrames(
        splitAddress(address),
        settings,
        eventsOf(() => dialing.delete(entry.node)),
      );
      dialing.set(entry.node, close);
    };

    const check = (): void => {
      const nowMs = clock.monotonicMs();
      for (const { connection, heardAtMs } of [...links.values()]) {
        if (nowMs - heardAtMs > silenceMs) {
          drop(connection, 'silent');
          connection.close();
        }
      }
      for (const entry of options.peers()) {
        // The node whose name comes first dials, so that each pair has one connection.
        const dials = options.node < entry.node && entry.nodeAddress !== undefined;
        if (dials && !links.has(entry.node) && !dialing.has(entry.node)) {
          dial(entry, entry.nodeAddress);
        }
      }
    };

    const server = await listenFrames(
      splitAddress(options.address),
      settings,
      eventsOf(() => undefined),
    );
    const cancel = clock.every(dialIntervalMs, check);
    check();

    return {
      send: (nodes, message) => {
        const frame = encodeFrame(writeNodeMessage(message));
        frame.caseOf({
          Left: ({ detail }) => {
            log.event('message to nodes not sent', { reason: detail, kind: message.kind });
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
