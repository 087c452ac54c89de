import type { Server } from 'node:http';
import type { Socket } from 'node:net';

/** Counts the open connections of a server on which no request has arrived yet. */
export const countUnusedConnections = (server: Server): (() => number) => {
  const unused = new Set<Socket>();
  server.on('connection', (socket) => {
    unused.add(socket);
    socket.once('close', () => {
      unused.delete(socket);
    });
  });
  server.on('request', ({ socket }) => {
    unused.delete(socket);
  });
  return () => unused.size;
};
