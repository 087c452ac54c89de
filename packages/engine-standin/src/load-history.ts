import type { LoadReport, Milliseconds } from '@zinniagrade/types';

export type EngineLoad = Omit<LoadReport, 'sequence' | 'at'>;

/** Snapshots of an engine's load, reported with a delay. */
export interface LoadHistory {
  /** Stores a snapshot unless one was stored within the interval; `force` stores it regardless. */
  readonly record: (now: Milliseconds, load: EngineLoad, force?: boolean) => void;
  /** The newest report that is at least as old as the lag; the oldest one if there is none. */
  readonly report: (now: Milliseconds) => LoadReport;
}

export const LoadHistory = {
  create: (
    reportLagMs: Milliseconds,
    intervalMs: Milliseconds,
    initialLoad: EngineLoad,
    startMs: Milliseconds,
  ): LoadHistory => {
    let reports: LoadReport[] = [{ sequence: 1, at: startMs, ...initialLoad }];
    let sequence = 1;
    let recordedAt = -Infinity;

    /** Also deletes the reports that are older than the one returned. */
    const newestDueReport = (now: Milliseconds): LoadReport => {
      const index = reports.findLastIndex((report) => report.at <= now - reportLagMs);
      reports = reports.slice(Math.max(0, index));
      const [report] = reports;
      if (report === undefined) {
        throw new Error('load history is empty; it must hold at least the initial report');
      }
      return report;
    };

    return {
      record: (now, load, force = false) => {
        if (!force && now - recordedAt < intervalMs) {
          return;
        }
        recordedAt = now;
        sequence += 1;
        reports.push({ sequence, at: now, ...load });
        newestDueReport(now);
      },
      report: newestDueReport,
    };
  },
};
