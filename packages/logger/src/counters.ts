import { StatsD } from 'hot-shots';

export type CounterTags = Readonly<Record<string, string>>;

/** Counters and gauges of a process, kept in memory and, if an address is given, sent by StatsD. */
export interface Counters {
  readonly increment: (name: string, by?: number, tags?: CounterTags) => void;
  readonly gauge: (name: string, value: number) => void;
  /** Counter totals since the start and last gauge values, by name and tags. */
  readonly totals: () => Readonly<Record<string, number>>;
  readonly close: () => void;
}

export interface StatsdAddress {
  readonly host: string;
  readonly port: number;
}

const maxDatagramBytes = 1400;
const flushIntervalMs = 1000;

const counterKey = (name: string, tags: CounterTags | undefined): string => {
  if (tags === undefined) {
    return name;
  }
  const pairs = Object.entries(tags).map(([tag, value]) => `${tag}=${value}`);
  return `${name}{${pairs.join(',')}}`;
};

export const Counters = {
  create: (process: string, statsd?: StatsdAddress): Counters => {
    const totals = new Map<string, number>();
    const client =
      statsd === undefined
        ? undefined
        : new StatsD({
            ...statsd,
            prefix: 'zinniagrade.',
            globalTags: { process },
            maxBufferSize: maxDatagramBytes,
            bufferFlushInterval: flushIntervalMs,
            errorHandler: () => {
              totals.set('statsd-errors', (totals.get('statsd-errors') ?? 0) + 1);
            },
          });
    return {
      increment: (name, by = 1, tags) => {
        const key = counterKey(name, tags);
        totals.set(key, (totals.get(key) ?? 0) + by);
        client?.increment(name, by, { ...tags });
      },
      gauge: (name, value) => {
        totals.set(name, value);
        client?.gauge(name, value);
      },
      totals: () => Object.fromEntries(totals),
      close: () => {
        client?.close(() => undefined);
      },
    };
  },
};
