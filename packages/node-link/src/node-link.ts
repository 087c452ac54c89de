import type { Clock } from '@zinniagrade/clock';
import {
  type ConnectionHandlers,
  type FrameConnection,
  connectFrames,
  listenFrames,
} from '@zinniagrade/frames';
import type { Counters } from '@zinniagrade/logger';
import { checkDocument, formatFieldErrors } from '@zinniagrade/settings';
import type { Milliseconds, NodeId, NodeMessage } from '@zinniagrade/types';
import { nodeMessageSchema } from './message-schema.js';
import { fromWire, toWire } from './wire-format.js';

const redialIntervalMs: Milliseconds = 500;
const checkIntervalMs: Milliseconds = 250;
/**
 * A wanted link carries a heartbeat or a demand every 500 ms; after this silence it is closed and
 * redialled.
 */
const wantedSilenceTimeoutMs: Milliseconds = 3000;
/** Applies to a link that only the other end wants, or that is no longer wanted. */
const unwantedIdleTimeoutMs: Milliseconds = 30_000;
const maxLinks = 512;

export interface LinkAddress {
  readonly host: string;
  readonly port: number;
}

export interface LinkEvents {
  /** Called when the first connection with the node has opened. */
  readonly onUp: (node: NodeId) => void;
  readonly onDown: (node: NodeId) => void;
  readonly onMessage: (node: NodeId, message: NodeMessage) => void;
}

/** Connections to other nodes. A message is delivered at most once, in the order of sending. */
export interface NodeLink {
  readonly port: number;
  /** Sets the nodes to stay connected with; links that neither end wants are closed when idle. */
  readonly setWanted: (wanted: ReadonlyMap<NodeId, LinkAddress>) => void;
  /** Opens one connection to an address whose node is not known yet. */
  readonly dial: (address: LinkAddress) => void;
  /** False when there is no open connection with the node, or its send buffer is full. */
  readonly send: (node: NodeId, message: NodeMessage) => boolean;
  readonly isOpen: (node: NodeId) => boolean;
  /** Bytes over all connections since the start. */
  readonly byteCounts: () => { readonly sent: number; readonly received: number };
  readonly close: () => Promise<void>;
}

export interface NodeLinkOptions {
  readonly nodeId: NodeId;
  readonly host: string;
  readonly port: number;
  readonly secret: string;
}

/** Opens the link of a node; tests pass one that works without sockets. */
export type NodeLinkOpener = (events: LinkEvents) => Promise<NodeLink>;

interface Link {
  readonly connection: FrameConnection;
  lastReceivedAt: Milliseconds;
}

interface Links {
  readonly byNode: Map<NodeId, Link[]>;
  closedSentBytes: number;
  closedReceivedBytes: number;
}

const openLinks = (links: Links): readonly Link[] => [...links.byNode.values()].flat();

const connectionHandlers = (
  self: NodeId,
  links: Links,
  clock: Clock,
  counters: Counters,
  events: LinkEvents,
): ConnectionHandlers => ({
  onOpen: (connection) => {
    if (connection.peer === self) {
      connection.close();
      return;
    }
    if (openLinks(links).length >= maxLinks) {
      counters.increment('node-link-refused');
      connection.close();
      return;
    }
    const existing = links.byNode.get(connection.peer) ?? [];
    links.byNode.set(connection.peer, [
      ...existing,
      { connection, lastReceivedAt: clock.monotonicMs() },
    ]);
    if (existing.length === 0) {
      events.onUp(connection.peer);
    }
  },
  onMessage: (connection, document) => {
    const link = links.byNode
      .get(connection.peer)
      ?.find((candidate) => candidate.connection === connection);
    if (link === undefined) {
      return;
    }
    link.lastReceivedAt = clock.monotonicMs();
    checkDocument(nodeMessageSchema, fromWire(document)).caseOf({
      Left: (fieldErrors) => {
        counters.increment('node-link-malformed', 1, {
          fault: formatFieldErrors(fieldErrors.slice(0, 1)).slice(0, 80),
        });
        connection.close();
      },
      Right: (message) => {
        events.onMessage(connection.peer, message);
      },
    });
  },
  onClose: (connection) => {
    const existing = connection === undefined ? undefined : links.byNode.get(connection.peer);
    if (connection === undefined || existing === undefined) {
      return;
    }
    const remaining = existing.filter((link) => link.connection !== connection);
    if (remaining.length === existing.length) {
      return;
    }
    links.closedSentBytes += connection.bytesSent();
    links.closedReceivedBytes += connection.bytesReceived();
    if (remaining.length > 0) {
      links.byNode.set(connection.peer, remaining);
    } else if (links.byNode.delete(connection.peer)) {
      events.onDown(connection.peer);
    }
  },
});

export const NodeLink = {
  /** Listens and keeps the wanted connections open. Rejects when the port is in use. */
  create: async (
    options: NodeLinkOptions,
    clock: Clock,
    counters: Counters,
    events: LinkEvents,
  ): Promise<NodeLink> => {
    const settings = { secret: options.secret, name: options.nodeId };
    const links: Links = { byNode: new Map(), closedSentBytes: 0, closedReceivedBytes: 0 };
    const handlers = connectionHandlers(options.nodeId, links, clock, counters, events);
    const server = await listenFrames(options, settings, handlers);
    /** Connections being opened, by address, so that none is dialled twice. */
    const dialAttempts = new Map<string, { readonly close: () => void }>();
    const dialledAt = new Map<NodeId, Milliseconds>();
    let wanted: ReadonlyMap<NodeId, LinkAddress> = new Map();

    const dial = (address: LinkAddress): void => {
      const key = `${address.host}:${address.port}`;
      if (dialAttempts.has(key)) {
        return;
      }
      const attempt = connectFrames(address, settings, {
        ...handlers,
        onOpen: (connection) => {
          dialAttempts.delete(key);
          handlers.onOpen(connection);
        },
        onClose: (connection, failure) => {
          dialAttempts.delete(key);
          handlers.onClose(connection, failure);
        },
      });
      dialAttempts.set(key, attempt);
    };

    const dialWanted = (now: Milliseconds): void => {
      for (const [node, address] of wanted) {
        // The end with the lower id dials at once; the other only if not connected after
        // `redialIntervalMs`.
        const dueAt = (dialledAt.get(node) ?? -Infinity) + redialIntervalMs;
        if (!links.byNode.has(node) && now >= dueAt) {
          dialledAt.set(node, now);
          dial(address);
        }
      }
    };

    const closeSilentLinks = (now: Milliseconds): void => {
      for (const [node, linksOfNode] of links.byNode) {
        for (const link of linksOfNode) {
          if (
            now - link.lastReceivedAt >
            (wanted.has(node) ? wantedSilenceTimeoutMs : unwantedIdleTimeoutMs)
          ) {
            link.connection.close();
            // Closing a stalled connection may take long, so it is handled as closed now.
            handlers.onClose(link.connection);
          }
        }
      }
    };

    const cancelChecks = clock.every(checkIntervalMs, () => {
      const now = clock.monotonicMs();
      closeSilentLinks(now);
      dialWanted(now);
    });

    return {
      port: server.port,
      setWanted: (nextWanted) => {
        const now = clock.monotonicMs();
        for (const node of nextWanted.keys()) {
          if (!wanted.has(node) && node < options.nodeId) {
            dialledAt.set(node, now);
          }
        }
        for (const node of dialledAt.keys()) {
          if (!nextWanted.has(node)) {
            dialledAt.delete(node);
          }
        }
        wanted = nextWanted;
        dialWanted(now);
      },
      dial,
      send: (node, message) =>
        links.byNode.get(node)?.some(({ connection }) => connection.send(toWire(message))) ?? false,
      isOpen: (node) => links.byNode.has(node),
      byteCounts: () => {
        let sent = links.closedSentBytes;
        let received = links.closedReceivedBytes;
        for (const { connection } of openLinks(links)) {
          sent += connection.bytesSent();
          received += connection.bytesReceived();
        }
        return { sent, received };
      },
      close: async () => {
        cancelChecks();
        for (const attempt of dialAttempts.values()) {
          attempt.close();
        }
        for (const { connection } of openLinks(links)) {
          connection.close();
        }
        await server.close();
      },
    };
  },
};
