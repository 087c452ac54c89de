import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';

/**
 * What happens after an error that no other code handles. It is logged and the process goes on, as
 * it belongs to one request or message while many others are being served. Many such errors within
 * a short time mean that the process itself is broken, so it is to be replaced.
 */
export interface UnexpectedErrors {
  readonly handle: (error: unknown) => void;
}

const maxErrors = 10;
const windowMs = 10_000;

export const UnexpectedErrors = {
  create: (clock: Clock, log: Log, onTooMany: () => void): UnexpectedErrors => {
    let timesMs: readonly number[] = [];
    return {
      handle: (error) => {
        log.event('unexpected error', {
          reason: error instanceof Error ? (error.stack ?? error.message) : String(error),
        });
        const nowMs = clock.monotonicMs();
        timesMs = [...timesMs.filter((atMs) => atMs > nowMs - windowMs), nowMs];
        if (timesMs.length > maxErrors) {
          timesMs = [];
          onTooMany();
        }
      },
    };
  },
};
