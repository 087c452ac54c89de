/** The counts of one window, which never change once they are recorded. */
export interface UsageReport {
  readonly window: number;
  /** Requests by client account. */
  readonly counts: ReadonlyMap<string, number>;
}

export interface UsageReportSettings {
  readonly windowMs: number;
  /** Time after the end of a window in which its report has to arrive. */
  readonly lateMs: number;
}

/** What the holder knows when it decides on the next report. */
export interface UsageReportSituation {
  /** Wall clock, corrected by those of the other nodes. */
  readonly nowMs: number;
  /** The last report in the store. */
  readonly recorded: UsageReport | undefined;
  /** Latest window that is known to have been recorded; a restored store may have forgotten it. */
  readonly lastRecordedWindow: number | undefined;
  /** Latest window whose report the platform has confirmed to this process. */
  readonly confirmedWindow: number | undefined;
  /** First window of which any counts are known. */
  readonly firstWindow: number;
}

export type UsageReportStep =
  | { readonly kind: 'send'; readonly report: UsageReport }
  | { readonly kind: 'record'; readonly window: number }
  | { readonly kind: 'wait'; readonly untilMs: number };

/**
 * Part of the time allowed for a report in which the rows of other nodes are awaited; the rest is for
 * writes, repeats and a holder that has to be replaced, which takes about the TTL of a lease.
 */
const settleShare = 0.25;

export const windowAt = (wallMs: number, windowMs: number): number => Math.floor(wallMs / windowMs);

/**
 * Decides what the holder does next: each window is recorded before it is sent, and what is recorded
 * is sent until it is confirmed or too late.
 */
export const nextUsageReportStep = (
  { windowMs, lateMs }: UsageReportSettings,
  situation: UsageReportSituation,
): UsageReportStep => {
  const { nowMs, recorded, confirmedWindow, firstWindow } = situation;
  const lastRecorded = Math.max(
    recorded?.window ?? -Infinity,
    situation.lastRecordedWindow ?? -Infinity,
  );
  const isInTime = (window: number): boolean => nowMs < (window + 1) * windowMs + lateMs;
  if (
    recorded?.window === lastRecorded &&
    recorded.window > (confirmedWindow ?? -Infinity) &&
    isInTime(recorded.window)
  ) {
    return { kind: 'send', report: recorded };
  }
  const firstInTime = windowAt(nowMs - lateMs, windowMs);
  const window = Math.max(lastRecorded + 1, firstWindow, firstInTime);
  const settledAtMs = (window + 1) * windowMs + lateMs * settleShare;
  return nowMs < settledAtMs ? { kind: 'wait', untilMs: settledAtMs } : { kind: 'record', window };
};
