import type { AddressInfo, Socket } from 'node:net';
import { connect, createServer } from 'node:net';

/** A TCP proxy between two processes that can reset, stall or refuse connections. */
export interface TcpProxy {
  readonly port: number;
  /**
   * Resets every open connection. New ones are still accepted unless `setRefusing(true)` was
   * called.
   */
  readonly resetConnections: () => void;
  /** Holds back the bytes of both directions until `resume`. */
  readonly stall: () => void;
  readonly resume: () => void;
  readonly setRefusing: (isRefusing: boolean) => void;
  readonly close: () => Promise<void>;
}

export const TcpProxy = {
  create: async (targetPort: number): Promise<TcpProxy> => {
    const sockets = new Set<Socket>();
    let isStalled = false;
    let isRefusing = false;

    const forward = (from: Socket, to: Socket): void => {
      sockets.add(from);
      from.on('data', (chunk) => {
        if (!to.destroyed) {
          to.write(chunk);
        }
      });
      from.on('end', () => to.end());
      from.on('error', () => undefined);
      from.on('close', () => {
        sockets.delete(from);
        to.destroy();
      });
      if (isStalled) {
        from.pause();
      }
    };

    const server = createServer({ allowHalfOpen: true }, (caller) => {
      if (isRefusing) {
        caller.on('error', () => undefined);
        caller.resetAndDestroy();
        return;
      }
      const target = connect({ host: '127.0.0.1', port: targetPort, allowHalfOpen: true });
      forward(caller, target);
      forward(target, caller);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));

    const resetConnections = (): void => {
      for (const socket of sockets) {
        socket.resetAndDestroy();
      }
    };
    return {
      port: (server.address() as AddressInfo).port,
      resetConnections,
      stall: () => {
        isStalled = true;
        for (const socket of sockets) {
          socket.pause();
        }
      },
      resume: () => {
        isStalled = false;
        for (const socket of sockets) {
          socket.resume();
        }
      },
      setRefusing: (next) => {
        isRefusing = next;
      },
      close: () =>
        new Promise((resolve) => {
          server.close(() => {
            resolve();
          });
          resetConnections();
        }),
    };
  },
};
