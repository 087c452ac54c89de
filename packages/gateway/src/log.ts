import winston from 'winston';
import type { LineOutput } from './line-output.js';

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

/**
 * Structured lines on standard output. `event` is for what changes the node's view or concerns the
 * process; `decision` is for a request. Both are bounded in volume and never wait for a reader.
 */
export interface Log {
  readonly event: (name: string, fields?: LogFields) => void;
  readonly decision: (name: string, fields: LogFields) => void;
  readonly close: () => void;
}

/** Lines for decisions a second; what is over is counted and reported. */
const maxDecisionsPerSecond = 60;
/** Lines for events a second. */
const maxEventsPerSecond = 40;

interface Allowance {
  readonly take: () => boolean;
  /** Lines that were left out since the last call. */
  readonly drain: () => number;
}

const Allowance = {
  create: (perSecond: number, nowMs: () => number): Allowance => {
    let tokens = perSecond;
    let refilledAtMs = nowMs();
    let dropped = 0;
    return {
      take: () => {
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
      drain: () => {
        const count = dropped;
        dropped = 0;
        return count;
      },
    };
  },
};

const suppressedReportMs = 5000;

export const Log = {
  create: (node: string, nowMs: () => number, output: LineOutput): Log => {
    const logger = winston.createLogger({
      defaultMeta: { node },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    });
    // winston's types declare the transport as an interface beside the class that makes it.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    logger.add(new winston.transports.Stream({ stream: output.stream }));
    const events = Allowance.create(maxEventsPerSecond, nowMs);
    const decisions = Allowance.create(maxDecisionsPerSecond, nowMs);
    const report = setInterval(() => {
      const count = events.drain() + decisions.drain() + output.drainDropped();
      if (count > 0) {
        logger.info('log lines left out', { count, withinMs: suppressedReportMs });
      }
    }, suppressedReportMs);
    report.unref();
    return {
      event: (name, fields = {}) => {
        if (events.take()) {
          logger.info(name, fields);
        }
      },
      decision: (name, fields) => {
        if (decisions.take()) {
          logger.info(name, fields);
        }
      },
      close: () => {
        clearInterval(report);
      },
    };
  },
  /** Discards everything; for tests. */
  createSilent: (): Log => ({
    event: () => undefined,
    decision: () => undefined,
    close: () => undefined,
  }),
};
