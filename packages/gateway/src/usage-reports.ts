import type { Clock } from '@zinniagrade/clock';
import { nextUsageReportStep, type UsageReport } from '@zinniagrade/duties';
import type { ClusterChange, ClusterState, StoredUsageReport } from './cluster-state.js';
import { usageSubject } from './duty-acts.js';
import type { DutyClient, DutyGrant, DutyHolder } from './duty-holder.js';
import type { Log } from './log.js';
import type { MetadataStore } from './metadata-store.js';
import type { UsageCounts } from './usage-counts.js';

export interface UsageReportsOptions {
  readonly windowMs: number;
  readonly lateMs: number;
  readonly client: DutyClient;
  readonly counts: Pick<
    UsageCounts,
    'nowMs' | 'totals' | 'firstWindow' | 'lastRecordedWindow' | 'onRecorded'
  >;
  /** Store keys of the subject's holder and of the last report. */
  readonly holderKey: string;
  readonly reportKey: string;
  readonly encode: (report: UsageReport) => Buffer;
  readonly decode: (key: string, value: Buffer) => ClusterChange;
  /** Whether all live nodes count; no report is made while one doesn't. */
  readonly isCountedByAll: () => boolean;
}

/** Reports the usage of each window while this node holds the subject. */
export interface UsageReports {
  readonly stop: () => void;
}

/** A report that may have been recorded: it is written again as it is, until that is known. */
interface PendingReport {
  readonly token: number;
  readonly report: UsageReport;
}

/** Delay before a call that failed is repeated; also the time between looks while inactive. */
const retryMs = 1000;
const minWaitMs = 20;

export const UsageReports = {
  create: (
    store: MetadataStore,
    clock: Clock,
    log: Log,
    cluster: ClusterState,
    holder: DutyHolder,
    options: UsageReportsOptions,
  ): UsageReports => {
    const { client, counts, holderKey, reportKey } = options;
    let stored: StoredUsageReport = { report: undefined, revision: 0 };
    let pending: PendingReport | undefined;
    let confirmedWindow: number | undefined;
    let isRunning = false;
    let isActive = true;
    let isStopped = false;
    let cancelNext = (): void => undefined;

    const onStored = (next: StoredUsageReport): void => {
      if (next.revision <= stored.revision) {
        return;
      }
      stored = next;
      if (next.report !== undefined) {
        counts.onRecorded(next.report.window);
      }
    };

    const readBack = async (): Promise<void> => {
      const listing = await store.list(reportKey);
      listing.ifRight(({ items, revision }) => {
        const item = items.find(({ key }) => key === reportKey);
        if (item === undefined) {
          // The key may have been lost with a restore of the store.
          stored = { report: undefined, revision: 0 };
          log.event('usage report missing in store', { revision });
          return;
        }
        const change = options.decode(reportKey, item.value);
        const report = change.kind === 'usage-report' ? change.report : undefined;
        onStored({ report, revision: item.revision });
      });
    };

    const takePending = (grant: DutyGrant, window: number): UsageReport => {
      if (pending?.token !== grant.token || pending.report.window !== window) {
        pending = {
          token: grant.token,
          report: { window, counts: new Map(counts.totals(window)) },
        };
      }
      return pending.report;
    };

    /**
     * Writes a report while the key of this holder is in place: a late write of an earlier holder
     * can't be applied after that of the next one.
     */
    const record = async (grant: DutyGrant, window: number): Promise<number> => {
      const report = takePending(grant, window);
      const result = await store.commit({
        expected: new Map([
          [holderKey, grant.token],
          [reportKey, stored.revision],
        ]),
        writes: [{ key: reportKey, value: options.encode(report) }],
        removals: [],
      });
      if (result.outcome === 'done') {
        onStored({ report, revision: result.revision });
        return 0;
      }
      log.event('usage report not recorded', { window, outcome: result.outcome });
      if (result.outcome === 'conflict' || result.outcome === 'unknown') {
        await readBack();
      }
      return (stored.report?.window ?? -1) >= window ? 0 : retryMs;
    };

    const send = async (grant: DutyGrant, report: UsageReport): Promise<number> => {
      const outcome = await client.reportUsage(grant, report.window, report.counts);
      if (outcome !== 'done') {
        return retryMs;
      }
      confirmedWindow = report.window;
      return 0;
    };

    const logActivity = (isActiveNow: boolean): void => {
      if (isActiveNow !== isActive) {
        isActive = isActiveNow;
        log.event('usage reports', { active: isActive });
      }
    };

    /** Returns the time until the next step; undefined while this node doesn't hold the subject. */
    const step = async (): Promise<number | undefined> => {
      const grant = holder.grantOf(usageSubject);
      if (grant === undefined) {
        return undefined;
      }
      logActivity(options.isCountedByAll());
      if (!isActive) {
        return retryMs;
      }
      const next = nextUsageReportStep(options, {
        nowMs: counts.nowMs(),
        recorded: stored.report,
        lastRecordedWindow: counts.lastRecordedWindow(),
        confirmedWindow,
        firstWindow: counts.firstWindow(),
      });
      switch (next.kind) {
        case 'wait':
          return next.untilMs - counts.nowMs();
        case 'record':
          return record(grant, next.window);
        case 'send':
          return send(grant, next.report);
      }
    };

    const run = (): void => {
      if (isRunning || isStopped) {
        return;
      }
      isRunning = true;
      cancelNext();
      step()
        .catch((error: unknown) => {
          log.event('usage report failed', { reason: String(error) });
          return retryMs;
        })
        .then((waitMs) => {
          isRunning = false;
          if (waitMs !== undefined && !isStopped) {
            cancelNext = clock.after(Math.max(minWaitMs, waitMs), run);
          }
        })
        .catch(() => undefined);
    };

    cluster.onChange((change) => {
      const current = cluster.usageReport();
      if (change.kind === 'usage-report' && current !== undefined) {
        onStored(current);
      }
    });
    holder.onChange((subject) => {
      if (subject === usageSubject) {
        run();
      }
    });

    return {
      stop: () => {
        isStopped = true;
        cancelNext();
      },
    };
  },
};
