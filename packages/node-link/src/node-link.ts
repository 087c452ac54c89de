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

const redialMs: Milliseconds = 500;
const checkEveryMs: Milliseconds = 250;
/** A wanted link carries a heartbeat or a demand every 500 ms; after this silence it is dialled anew. */
const silentMs: Milliseconds = 3000;
/** A link that only the other end wants, or wanted once. */
const idleMs: Milliseconds = 30_000;
const maxLinks = 512;

export interface LinkAddress {
  readonly host: string;
  readonly port: number;
}

export interface LinkEvents {
  /** The first connection with the node has opened. */
  readonly onUp: (node: NodeId) => void;
  readonly onDown: (node: NodeId) => void;
  readonly onMessage: (node: NodeId, message: NodeMessage) => void;
}

/** Connections to other nodes. A message is delivered once or not at all, in the order of sending. */
export interface NodeLink {
  readonly port: number;
  /** Nodes to stay connected with; links that nobody wants end by themselves. */
  readonly setWanted: (wanted: ReadonlyMap<NodeId, LinkAddress>) => void;
  /** Opens one connection, to find the node at an address. */
  readonly dial: (address: LinkAddress) => void;
  /** False when there is no open connection with the node, or it is far behind. */
  readonly send: (node: NodeId, message: NodeMessage) => boolean;
  readonly isOpen: (node: NodeId) => boolean;
  /** Bytes of all connections since the start. */
  readonly bytes: () => { readonly sent: number; readonly received: number };
  readonly close: () => Promise<void>;
}

export interface NodeLinkOptions {
  readonly nodeId: NodeId;
  readonly host: string;
  readonly port: number;
  readonly secret: string;
}

/** How control gets its link; tests give one without sockets. */
export type OpenNodeLink = (events: LinkEvents) => Promise<NodeLink>;

interface Link {
  readonly connection: FrameConnection;
  heardAt: Milliseconds;
}

interface Links {
  readonly byNode: Map<NodeId, Link[]>;
  closedSent: number;
  closedReceived: number;
}

const openLinks = (links: Links): readonly Link[] => [...links.byNode.values()].flat();

const connectionEvents = (
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
    const before = links.byNode.get(connection.peer) ?? [];
    links.byNode.set(connection.peer, [...before, { connection, heardAt: clock.monotonicMs() }]);
    if (before.length === 0) {
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
    link.heardAt = clock.monotonicMs();
    checkDocument(nodeMessageSchema, fromWire(document)).caseOf({
      Left: (faults) => {
        counters.increment('node-link-malformed', 1, {
          fault: formatFieldErrors(faults.slice(0, 1)).slice(0, 80),
        });
        connection.close();
      },
      Right: (message) => {
        events.onMessage(connection.peer, message);
      },
    });
  },
  onClose: (connection) => {
    const before = connection === undefined ? undefined : links.byNode.get(connection.peer);
    if (connection === undefined || before === undefined) {
      return;
    }
    const after = before.filter((link) => link.connection !== connection);
    if (after.length === before.length) {
      return;
    }
    links.closedSent += connection.bytesSent();
    links.closedReceived += connection.bytesReceived();
    if (after.length > 0) {
      links.byNode.set(connection.peer, after);
    } else if (links.byNode.delete(connection.peer)) {
      events.onDown(connection.peer);
    }
  },
});

export const NodeLink = {
  /** Listens and keeps the wanted connections. Rejects when the port is taken. */
  create: async (
    options: NodeLinkOptions,
    clock: Clock,
    counters: Counters,
    events: LinkEvents,
  ): Promise<NodeLink> => {
    const settings = { secret: options.secret, name: options.nodeId };
    const links: Links = { byNode: new Map(), closedSent: 0, closedReceived: 0 };
    const frameEvents = connectionEvents(options.nodeId, links, clock, counters, events);
    const server = await listenFrames(options, settings, frameEvents);
    /** Connections that are being opened, so that none is dialled twice. */
    const dialling = new Map<string, { readonly close: () => void }>();
    const dialledAt = new Map<NodeId, Milliseconds>();
    let wanted: ReadonlyMap<NodeId, LinkAddress> = new Map();

    const dial = (address: LinkAddress): void => {
      const key = `${address.host}:${address.port}`;
      if (dialling.has(key)) {
        return;
      }
      const attempt = connectFrames(address, settings, {
        ...frameEvents,
        onOpen: (connection) => {
          dialling.delete(key);
          frameEvents.onOpen(connection);
        },
        onClose: (connection, failure) => {
          dialling.delete(key);
          frameEvents.onClose(connection, failure);
        },
      });
      dialling.set(key, attempt);
    };

    const dialWanted = (now: Milliseconds): void => {
      for (const [node, address] of wanted) {
        // The end with the lower id dials at once, the other if it has not been reached by then.
        const dueAt = (dialledAt.get(node) ?? -Infinity) + redialMs;
        if (!links.byNode.has(node) && now >= dueAt) {
          dialledAt.set(node, now);
          dial(address);
        }
      }
    };

    const closeSilent = (now: Milliseconds): void => {
      for (const [node, ofNode] of links.byNode) {
        for (const link of ofNode) {
          if (now - link.heardAt > (wanted.has(node) ? silentMs : idleMs)) {
            link.connection.close();
            // The close of a stalled connection may itself take long.
            frameEvents.onClose(link.connection);
          }
        }
      }
    };

    const cancelCheck = clock.every(checkEveryMs, () => {
      const now = clock.monotonicMs();
      closeSilent(now);
      dialWanted(now);
    });

    return {
      port: server.port,
      setWanted: (next) => {
        const now = clock.monotonicMs();
        for (const node of next.keys()) {
          if (!wanted.has(node) && node < options.nodeId) {
            dialledAt.set(node, now);
          }
        }
        for (const node of dialledAt.keys()) {
          if (!next.has(node)) {
            dialledAt.delete(node);
          }
        }
        wanted = next;
        dialWanted(now);
      },
      dial,
      send: (node, message) =>
        links.byNode.get(node)?.some(({ connection }) => connection.send(toWire(message))) ?? false,
      isOpen: (node) => links.byNode.has(node),
      bytes: () => {
        let sent = links.closedSent;
        let received = links.closedReceived;
        for (const { connection } of openLinks(links)) {
          sent += connection.bytesSent();
          received += connection.bytesReceived();
        }
        return { sent, received };
      },
      close: async () => {
        cancelCheck();
        for (const attempt of dialling.values()) {
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
