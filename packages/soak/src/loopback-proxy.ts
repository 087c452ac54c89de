import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/**
 * Fault on the connections of a proxy. `delay` holds each chunk of bytes for `delayMs`. `silent`
 * holds back all bytes, `one-way` only those from the target, until the fault changes. `reset`
 * resets open and new connections.
 */
export type LinkFault = 'none' | 'delay' | 'silent' | 'one-way' | 'reset';

/** A TCP proxy on a loopback port that forwards to one address and injects link faults. */
export interface LoopbackProxy {
  readonly address: string;
  readonly setFault: (fault: LinkFault) => void;
  readonly close: () => void;
}

const delayMs = 250;

interface SocketPair {
  readonly clientSocket: Socket;
  readonly targetSocket: Socket;
}

export const LoopbackProxy = {
  create: async (target: string): Promise<LoopbackProxy> => {
    const pairs = new Set<SocketPair>();
    let currentFault: LinkFault = 'none';
    const heldWrites: (() => void)[] = [];

    const isHeld = (isFromTarget: boolean): boolean =>
      currentFault === 'silent' || (currentFault === 'one-way' && isFromTarget);

    /** Forwards bytes in the order received: held or delayed bytes go out before later ones. */
    const relay = (from: Socket, to: Socket, isFromTarget: boolean): void => {
      let pendingWrites = Promise.resolve();
      from.on('data', (bytes: Buffer) => {
        pendingWrites = pendingWrites.then(async () => {
          if (currentFault === 'delay') {
            await new Promise((resolve) => {
              setTimeout(resolve, delayMs);
            });
          }
          if (isHeld(isFromTarget)) {
            await new Promise<void>((resolve) => {
              heldWrites.push(resolve);
            });
          }
          if (!to.write(bytes) && !to.destroyed) {
            from.pause();
            to.once('drain', () => from.resume());
          }
        });
      });
      from.on('end', () => {
        void pendingWrites.then(() => to.end());
      });
      from.on('error', () => to.destroy());
      from.on('close', () => {
        void pendingWrites.then(() => to.destroy());
      });
    };

    const server: Server = createServer({ allowHalfOpen: true }, (clientSocket) => {
      if (currentFault === 'reset') {
        clientSocket.resetAndDestroy();
        return;
      }
      const [host, port] = target.split(':');
      const targetSocket = connect({ host: host ?? '', port: Number(port), allowHalfOpen: true });
      const pair = { clientSocket, targetSocket };
      pairs.add(pair);
      clientSocket.setNoDelay(true);
      targetSocket.setNoDelay(true);
      relay(clientSocket, targetSocket, false);
      relay(targetSocket, clientSocket, true);
      clientSocket.on('close', () => pairs.delete(pair));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return {
      address: `127.0.0.1:${String((server.address() as AddressInfo).port)}`,
      setFault: (fault) => {
        currentFault = fault;
        if (fault === 'reset') {
          for (const { clientSocket, targetSocket } of pairs) {
            clientSocket.resetAndDestroy();
            targetSocket.destroy();
          }
        }
        if (fault !== 'silent' && fault !== 'one-way') {
          for (const release of heldWrites.splice(0)) {
            release();
          }
        }
      },
      close: () => {
        for (const { clientSocket, targetSocket } of pairs) {
          clientSocket.destroy();
          targetSocket.destroy();
        }
        server.close();
      },
    };
  },
};
