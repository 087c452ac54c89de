import { createServer, type Server } from 'node:http';
import { Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Counters and latency histograms of a process, exported in the Prometheus text format. */
export interface Metrics {
  readonly recordResponse: (route: string, outcome: string, durationMs: number) => void;
  readonly recordFirstEvent: (route: string, durationMs: number) => void;
  readonly recordMovePause: (outcome: string, pauseMs: number) => void;
  readonly countDecision: (name: string) => void;
  /** Records how long a generation waited for memory of engines. */
  readonly recordWait: (service: string, outcome: string, waitedMs: number) => void;
  readonly setQueueLength: (service: string, length: number) => void;
  readonly addOpenRequests: (by: number) => void;
  /** Exports memory sizes, which are read whenever the metrics are. */
  readonly exportMemory: (read: () => Readonly<Record<string, number>>) => void;
  /** For the metrics of single features. */
  readonly registry: Registry;
  /** Records how long an upstream took to get its full share. */
  readonly recordRise: (durationMs: number) => void;
  /** Exports the limit of each upstream whose pace rises. */
  readonly exportPaces: (read: () => ReadonlyMap<string, number>) => void;
  readonly text: () => Promise<string>;
}

/** Upper bounds of the latency histograms, in milliseconds. */
const latencyBuckets = [5, 20, 50, 100, 200, 400, 800, 1500, 3000, 6000, 12_000, 40_000];
const pauseBuckets = [10, 30, 60, 100, 180, 300, 600, 1200, 2500];

export const Metrics = {
  create: (): Metrics => {
    const registry = new Registry();
    const registers = [registry];
    const answers = new Counter({
      name: 'zinniagrade_answers_total',
      help: 'Final answers by route and outcome.',
      labelNames: ['route', 'outcome'],
      registers,
    });
    const durations = new Histogram({
      name: 'zinniagrade_answer_duration_ms',
      help: 'Time from the arrival of a request to the end of its answer.',
      labelNames: ['route'],
      buckets: latencyBuckets,
      registers,
    });
    const firstEvents = new Histogram({
      name: 'zinniagrade_first_event_ms',
      help: 'Time from the arrival of a request to the first event of its stream.',
      labelNames: ['route'],
      buckets: latencyBuckets,
      registers,
    });
    const movePauses = new Histogram({
      name: 'zinniagrade_move_pause_ms',
      help: 'Pause of a stream that was moved to another engine.',
      labelNames: ['outcome'],
      buckets: pauseBuckets,
      registers,
    });
    const counts = new Counter({
      name: 'zinniagrade_decisions_total',
      help: 'Decisions by kind.',
      labelNames: ['kind'],
      registers,
    });
    const waits = new Histogram({
      name: 'zinniagrade_queue_wait_ms',
      help: 'Time for which generations waited for memory of engines, by outcome.',
      labelNames: ['service', 'outcome'],
      buckets: latencyBuckets,
      registers,
    });
    const queueLengths = new Gauge({
      name: 'zinniagrade_queue_length',
      help: 'Generations that wait for memory of engines.',
      labelNames: ['service'],
      registers,
    });
    const open = new Gauge({
      name: 'zinniagrade_open_requests',
      help: 'Requests that are being served.',
      registers,
    });
    const rises = new Histogram({
      name: 'zinniagrade_pace_rise_ms',
      help: 'Time until an upstream that has started, failed or turned cold got its full share.',
      buckets: latencyBuckets,
      registers,
    });
    return {
      recordResponse: (route, outcome, durationMs) => {
        answers.inc({ route, outcome });
        durations.observe({ route }, durationMs);
      },
      recordFirstEvent: (route, durationMs) => {
        firstEvents.observe({ route }, durationMs);
      },
      recordMovePause: (outcome, pauseMs) => {
        movePauses.observe({ outcome }, pauseMs);
      },
      countDecision: (kind) => {
        counts.inc({ kind });
      },
      recordWait: (service, outcome, waitedMs) => {
        waits.observe({ service, outcome }, waitedMs);
      },
      setQueueLength: (service, length) => {
        queueLengths.set({ service }, length);
      },
      addOpenRequests: (by) => {
        open.inc(by);
      },
      exportMemory: (read) => {
        new Gauge({
          name: 'zinniagrade_memory_bytes',
          help: 'Memory of the process and its limit, and what is held for peers, by kind.',
          labelNames: ['kind'],
          registers,
          collect() {
            for (const [kind, bytes] of Object.entries(read())) {
              this.set({ kind }, bytes);
            }
          },
        });
      },
      registry,
      recordRise: (durationMs) => {
        rises.observe(durationMs);
      },
      exportPaces: (read) => {
        new Gauge({
          name: 'zinniagrade_pace_requests',
          help: 'Requests that all nodes may have in flight at an upstream whose pace rises.',
          labelNames: ['upstream'],
          registers,
          collect() {
            this.reset();
            for (const [upstream, limit] of read()) {
              this.set({ upstream }, limit);
            }
          },
        });
      },
      text: () => registry.metrics(),
    };
  },
};

/** HTTP server that returns the metrics at every path. */
export const createMetricsServer = (metrics: Metrics): Server =>
  createServer((_request, response) => {
    metrics.text().then(
      (text) => {
        response.writeHead(200, { 'content-type': 'text/plain; version=0.0.4' }).end(text);
      },
      (error: unknown) => {
        response.writeHead(500).end(String(error));
      },
    );
  });
