import type { Server } from 'node:net';
import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';

/** Opens listen addresses, and tries again while an address can't be used yet. */
export interface Listeners {
  /**
   * Opens an address, as IP:PORT. Resolves with true when the server accepts connections, and with
   * false if `stop` was called before; rejects if the address can never be opened.
   */
  readonly open: (server: Server, address: string) => Promise<boolean>;
  /** Ends all attempts; has no effect on open addresses. */
  readonly stop: () => void;
}

const addressPattern = /^(.*):(\d+)$/;
/** Connections that the operating system accepts ahead of the process. */
const connectionBacklog = 1024;
const retryIntervalMs = 100;
/** An earlier process may still hold the address, or the interface is not up yet. */
const temporaryErrors: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

export const Listeners = {
  create: (clock: Clock, log: Log): Listeners => {
    const stopPending = new Set<() => void>();
    let isStopped = false;

    const open = (server: Server, address: string): Promise<boolean> =>
      new Promise((resolve, reject) => {
        const [, host, port] = addressPattern.exec(address) ?? [];
        const triedSinceMs = clock.monotonicMs();
        let cancelRetry = (): void => undefined;
        let isOpen = false;
        let hasFailed = false;

        const settle = (): void => {
          stopPending.delete(stopAttempts);
        };
        const stopAttempts = (): void => {
          cancelRetry();
          resolve(false);
        };
        const attempt = (): void => {
          server.listen({ host, port: Number(port), backlog: connectionBacklog });
        };
        const retry = (code: string | undefined): void => {
          if (!hasFailed) {
            log.event('listen address not available', { address, reason: code });
          }
          hasFailed = true;
          cancelRetry = clock.after(retryIntervalMs, attempt);
        };

        server.on('error', (error: NodeJS.ErrnoException) => {
          if (isOpen) {
            log.event('server error', { address, reason: String(error) });
          } else if (temporaryErrors.has(error.code) && !isStopped) {
            retry(error.code);
          } else {
            settle();
            reject(error);
          }
        });
        server.once('listening', () => {
          isOpen = true;
          settle();
          if (hasFailed) {
            const afterMs = Math.round(clock.monotonicMs() - triedSinceMs);
            log.event('listen address opened', { address, afterMs });
          }
          resolve(!isStopped);
        });
        stopPending.add(stopAttempts);
        attempt();
      });

    return {
      open,
      stop: () => {
        isStopped = true;
        for (const stopAttempts of stopPending) {
          stopAttempts();
        }
      },
    };
  },
};
