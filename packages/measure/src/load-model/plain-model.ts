import type { LoadReport } from '@zinniagrade/types';

/** Model of a plain service process: a fixed number of slots and a queue in front of them. */
export interface PlainModel {
  readonly submit: (id: string, serviceMs: number, now: number) => void;
  /** Reports the calls that have ended by `now` and starts waiting ones. */
  readonly advance: (now: number, ended: (id: string, atMs: number) => void) => void;
  readonly inFlight: () => number;
  /** Fails all running and waiting calls, as when the process dies. */
  readonly failAll: (failed: (id: string) => void) => void;
  readonly report: (now: number) => LoadReport;
}

interface Call {
  readonly id: string;
  readonly serviceMs: number;
  readonly endsAt: number;
}

export const PlainModel = {
  create: (slots: number): PlainModel => {
    let running: Call[] = [];
    let waiting: Call[] = [];
    const startWaiting = (now: number): void => {
      while (running.length < slots) {
        const next = waiting.shift();
        if (next === undefined) {
          return;
        }
        running.push({ ...next, endsAt: now + next.serviceMs });
      }
    };
    return {
      submit: (id, serviceMs, now) => {
        waiting.push({ id, serviceMs, endsAt: Infinity });
        startWaiting(now);
      },
      advance: (now, ended) => {
        for (const call of running) {
          if (call.endsAt <= now) {
            ended(call.id, call.endsAt);
          }
        }
        running = running.filter(({ endsAt }) => endsAt > now);
        startWaiting(now);
      },
      inFlight: () => running.length + waiting.length,
      failAll: (failed) => {
        const failing = [...running, ...waiting];
        running = [];
        waiting = [];
        for (const { id } of failing) {
          failed(id);
        }
      },
      report: (now) => ({
        sequence: Math.floor(now / 250) + 1,
        at: now,
        running: running.length,
        waiting: waiting.length,
        memoryTokensUsed: 0,
        memoryTokensTotal: 0,
        preemptions: 0,
        warm: true,
        version: 'v1',
      }),
    };
  },
};
