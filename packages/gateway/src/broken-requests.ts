import type { Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Log } from './log.js';

const statusLines: Readonly<Record<string, string>> = {
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};
const defaultStatusLine = '400 Bad Request';

/**
 * Refuses requests that can't be read, and closes their connections. If a request before it on the
 * connection is still served, the refusal would be taken for its response, and 408 for the promise
 * that it has not run; so the connection then closes after that response, without a refusal.
 */
export const refuseBrokenRequests = (server: Server, log: Log): void => {
  const openResponses = new WeakMap<Duplex, Set<ServerResponse>>();
  const broken = new WeakSet<Duplex>();

  const openAt = (socket: Duplex): readonly ServerResponse[] => [
    ...(openResponses.get(socket) ?? []),
  ];

  const servesRequest = (socket: Duplex): boolean => openAt(socket).some(({ req }) => req.complete);

  server.on('request', (message, response) => {
    const { socket } = message;
    const open = openResponses.get(socket) ?? new Set();
    openResponses.set(socket, open.add(response));
    response.once('close', () => {
      open.delete(response);
      if (broken.has(socket) && !servesRequest(socket)) {
        socket.destroySoon();
      }
    });
  });

  server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
    if (broken.has(socket) || socket.destroyed) {
      return;
    }
    broken.add(socket);
    const isServing = servesRequest(socket);
    log.decision('request not read', { reason: error.code ?? error.message, isServing });
    if (isServing) {
      return;
    }
    const close = (): void => {
      socket.destroy();
    };
    if (openAt(socket).some(({ headersSent }) => headersSent)) {
      socket.end(close);
      return;
    }
    const statusLine = statusLines[error.code ?? ''] ?? defaultStatusLine;
    socket.end(`HTTP/1.1 ${statusLine}\r\nConnection: close\r\n\r\n`, close);
  });
};
