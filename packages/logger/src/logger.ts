import winston from 'winston';

export type LogFields = Readonly<Record<string, string | number | boolean>>;

/** Logs changes of state as JSON lines. Events that occur per request go to `Counters` instead. */
export interface Logger {
  readonly info: (message: string, fields?: LogFields) => void;
  readonly warn: (message: string, fields?: LogFields) => void;
  readonly error: (message: string, fields?: LogFields) => void;
}

export const Logger = {
  /** Writes to standard error, which leaves standard output to results. */
  create: (process: string, level: 'info' | 'warn' | 'error' = 'info'): Logger => {
    const logger = winston.createLogger({
      level,
      defaultMeta: { process },
      format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    });
    // winston's types merge the transport's class with an interface of the same name.
    // eslint-disable-next-line @typescript-eslint/no-unsafe-class-instance-assignment
    logger.add(new winston.transports.Console({ stderrLevels: ['error', 'warn', 'info'] }));
    return {
      info: (message, fields = {}) => {
        logger.info(message, fields);
      },
      warn: (message, fields = {}) => {
        logger.warn(message, fields);
      },
      error: (message, fields = {}) => {
        logger.error(message, fields);
      },
    };
  },
  /** A logger for tests that discards everything. */
  createSilent: (): Logger => ({
    info: () => undefined,
    warn: () => undefined,
    error: () => undefined,
  }),
};
