import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';

/**
 * Shares of the sockets of this process that its servers may use. The rest is kept for connections
 * to upstreams, to other nodes and to the store.
 */
const socketShares = { caller: 0.5, directory: 0.1, ready: 0.05, metrics: 0.05 } as const;

/** A caller that sends a request soon after it connects, or after a response, is not disturbed. */
const minUnusedMs = 1000;
const minConnections = 4;
const logIntervalMs = 1000;

/** Connections without a request, in the order in which they became so, with that time. */
type UnusedConnections = Map<Socket, number>;

const findOldest = (
  unused: UnusedConnections,
  untilMs: number,
  except: Socket,
): Socket | undefined => {
  for (const [socket, sinceMs] of unused) {
    if (sinceMs > untilMs) {
      return undefined;
    }
    if (socket !== except) {
      return socket;
    }
  }
  return undefined;
};

/**
 * Bounds the open connections of a server. At the bound, each new connection takes the place of one
 * that has been without a request for the longest time; if there is none, it is closed at once.
 */
export const limitServerConnections = (
  server: Server,
  name: keyof typeof socketShares,
  maxSockets: number,
  clock: Clock,
  log: Log,
): void => {
  const limit = Math.max(minConnections, Math.floor(maxSockets * socketShares[name]));
  /** Requests in progress of each open connection. */
  const requests = new Map<Socket, number>();
  const silent: UnusedConnections = new Map();
  const idle: UnusedConnections = new Map();
  let closed = 0;

  const countClosed = (): void => {
    if (closed === 0) {
      clock.after(logIntervalMs, () => {
        log.event('connections closed at limit', { server: name, limit, closed });
        closed = 0;
      });
    }
    closed += 1;
  };

  const forget = (socket: Socket): void => {
    requests.delete(socket);
    silent.delete(socket);
    idle.delete(socket);
  };

  const closeUnused = (newSocket: Socket): void => {
    const untilMs = clock.monotonicMs() - minUnusedMs;
    const unused =
      findOldest(silent, untilMs, newSocket) ??
      findOldest(idle, untilMs, newSocket) ??
      findOldest(silent, Infinity, newSocket);
    if (unused !== undefined) {
      unused.destroy();
      forget(unused);
      countClosed();
    }
  };

  const changeRequests = (socket: Socket, change: number): void => {
    const count = requests.get(socket);
    // Responses may end after their connection was closed.
    if (count === undefined) {
      return;
    }
    requests.set(socket, count + change);
    silent.delete(socket);
    idle.delete(socket);
    if (count + change === 0) {
      idle.set(socket, clock.monotonicMs());
    }
  };

  // One more than the limit, as the place for a new connection is made when it is open.
  server.maxConnections = limit + 1;
  server.on('connection', (socket) => {
    requests.set(socket, 0);
    silent.set(socket, clock.monotonicMs());
    socket.once('close', () => {
      forget(socket);
    });
    if (requests.size > limit) {
      closeUnused(socket);
    }
  });
  server.on('request', ({ socket }: IncomingMessage, response: ServerResponse) => {
    changeRequests(socket, 1);
    response.once('close', () => {
      changeRequests(socket, -1);
    });
  });
  server.on('drop', countClosed);
};
