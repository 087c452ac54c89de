import winston from 'winston';
import type { LineOutput } from './line-output.js';

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Structured log lines on standard output. `event` is for changes of the cluster state and of the
 * process; `decision` is for single requests. Both are rate-limited and never block on a slow reader.
 */
export interface Log {
  readonly event: (name: string, fields?: LogFields) => void;
  readonly decision: (name: string, fields: LogFields) => void;
  readonly close: () => void;
}

/**
 * Log lines for decisions per second; lines beyond the limit are counted, and the count is logged.
 */
const maxDecisionsPerSecond = 60;
/** Log lines for events per second. */
const maxEventsPerSecond = 40;

interface RateLimiter {
  readonly tryAcquire: () => boolean;
  /** Returns and resets the number of lines that were dropped. */
  readonly takeDropped: () => number;
}

const RateLimiter = {
  create: (perSecond: number, nowMs: () => number): RateLimiter => {
    let tokens = perSecond;
    let refilledAtMs = nowMs();
    let dropped = 0;
    return {
      tryAcquire: () => {
        const now = nowMs();
        tokens = Math.min(perSecond, tokens + ((now - refilledAtMs) * perSecond) / 1000);
        refilledAtMs = now;
        if (tokens < 1) {
          dropped += 1;
          return false;
        }
        tokens -= 1;
        return true;
      },
      takeDropped: () => {
        const count = dropped;
        dropped = 0;
        return count;
      },
    };
  },
};

const droppedReportIntervalMs = 5000;

export const Log = {
  create: (node: string, nowMs: () => number, output: LineOutput): Log => {
    const logger = winston.createLogger({
      defaultMeta: { node },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    });
    // winston's types declare the transport as an interface beside the class that creates it.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    logger.add(new winston.transports.Stream({ stream: output.stream }));
    const events = RateLimiter.create(maxEventsPerSecond, nowMs);
    const decisions = RateLimiter.create(maxDecisionsPerSecond, nowMs);
    const droppedReportTimer = setInterval(() => {
      const count = events.takeDropped() + decisions.takeDropped() + output.drainDropped();
      if (count > 0) {
        logger.info('log lines dropped', { count, withinMs: droppedReportIntervalMs });
      }
    }, droppedReportIntervalMs);
    droppedReportTimer.unref();
    return {
      event: (name, fields = {}) => {
        if (events.tryAcquire()) {
          logger.info(name, fields);
        }
      },
      decision: (name, fields) => {
        if (decisions.tryAcquire()) {
          logger.info(name, fields);
        }
      },
      close: () => {
        clearInterval(droppedReportTimer);
      },
    };
  },
  /** Discards all lines; for tests. */
  createSilent: (): Log => ({
    event: () => undefined,
    decision: () => undefined,
    close: () => undefined,
  }),
};
