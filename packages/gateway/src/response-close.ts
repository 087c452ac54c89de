import type { ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

/** Listeners of the responses of each open connection. */
const listenersOf = new WeakMap<Socket, Set<() => void>>();

const listenersAt = (socket: Socket): Set<() => void> => {
  const known = listenersOf.get(socket);
  if (known !== undefined) {
    return known;
  }
  const listeners = new Set<() => void>();
  listenersOf.set(socket, listeners);
  socket.once('close', () => {
    for (const listener of [...listeners]) {
      listener();
    }
  });
  return listeners;
};

/**
 * Calls the listener once, when the response is sent or its connection closes. A response that waits
 * for an earlier one on its connection emits no 'close' if the connection closes first.
 */
export const onResponseClose = (response: ServerResponse, listener: () => void): void => {
  const listeners = listenersAt(response.req.socket);
  const close = (): void => {
    if (listeners.delete(close)) {
      listener();
    }
  };
  listeners.add(close);
  response.once('close', close);
};
