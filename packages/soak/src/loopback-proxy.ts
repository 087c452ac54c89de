import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';

/**
 * What happens to connections: `silent` holds all bytes back, `one-way` those of the answers;
 * `reset` also closes the open ones.
 */
export type LinkFault = 'none' | 'delay' | 'silent' | 'one-way' | 'reset';

/** A proxy on loopback before one address. */
export interface LoopbackProxy {
  readonly address: string;
  readonly fault: (fault: LinkFault) => void;
  readonly close: () => void;
}

const delayMs = 250;

interface Pair {
  readonly near: Socket;
  readonly far: Socket;
}

export const LoopbackProxy = {
  create: async (target: string): Promise<LoopbackProxy> => {
    const pairs = new Set<Pair>();
    let current: LinkFault = 'none';
    const held: (() => void)[] = [];

    const isHeld = (answers: boolean): boolean =>
      current === 'silent' || (current === 'one-way' && answers);

    /** Bytes keep their order: what is held back goes before what comes later. */
    const relay = (from: Socket, to: Socket, answers: boolean): void => {
      let waiting = Promise.resolve();
      from.on('data', (bytes: Buffer) => {
        waiting = waiting.then(async () => {
          if (current === 'delay') {
            await new Promise((resolve) => {
              setTimeout(resolve, delayMs);
            });
          }
          if (isHeld(answers)) {
            await new Promise<void>((resolve) => {
              held.push(resolve);
            });
          }
          to.write(bytes);
        });
      });
      from.on('end', () => {
        void waiting.then(() => to.end());
      });
      from.on('error', () => to.destroy());
      from.on('close', () => {
        void waiting.then(() => to.destroy());
      });
    };

    const server: Server = createServer({ allowHalfOpen: true }, (near) => {
      if (current === 'reset') {
        near.resetAndDestroy();
        return;
      }
      const [host, port] = target.split(':');
      const far = connect({ host: host ?? '', port: Number(port), allowHalfOpen: true });
      const pair = { near, far };
      pairs.add(pair);
      near.setNoDelay(true);
      far.setNoDelay(true);
      relay(near, far, false);
      relay(far, near, true);
      near.on('close', () => pairs.delete(pair));
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    return {
      address: `127.0.0.1:${String((server.address() as AddressInfo).port)}`,
      fault: (fault) => {
        current = fault;
        if (fault === 'reset') {
          for (const { near, far } of pairs) {
            near.resetAndDestroy();
            far.destroy();
          }
        }
        if (fault !== 'silent' && fault !== 'one-way') {
          for (const release of held.splice(0)) {
            release();
          }
        }
      },
      close: () => {
        for (const { near, far } of pairs) {
          near.destroy();
          far.destroy();
        }
        server.close();
      },
    };
  },
};
