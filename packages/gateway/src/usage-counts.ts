import type { Clock, Random } from '@zinniagrade/clock';
import { ClockOffset, UsageWindows, windowAt, type UsageRow } from '@zinniagrade/duties';
import { z } from 'zod';
import type { Call } from './call.js';
import type { PeerTopic, RowFields } from './peer-topics.js';

export interface UsageCountsOptions {
  readonly node: string;
  /** Start of this process, in Unix milliseconds. */
  readonly incarnation: number;
  readonly windowMs: number;
  readonly lateMs: number;
  readonly nodeCount: () => number;
  readonly openTopic: (topic: PeerTopic) => (fields: RowFields) => void;
}

/** Requests that upstreams began to run, by window and client account, as counted by all nodes. */
export interface UsageCounts {
  /** Counts a request once, however often it is called for it. */
  readonly countBegun: (call: Call) => void;
  /** Wall clock, corrected by those of the other nodes. */
  readonly nowMs: () => number;
  readonly totals: (window: number) => ReadonlyMap<string, number>;
  readonly firstWindow: () => number;
  /** Latest window that any node knows to have been recorded. */
  readonly lastRecordedWindow: () => number | undefined;
  readonly onRecorded: (window: number) => void;
  /** Shares what has not been shared yet, and stops. */
  readonly stop: () => void;
}

export const usageTopic = 'usage';

/** Shares of counts within a window; a node that is killed loses what it has counted since. */
const sharesPerWindow = 3;
/** Above this, nodes share at the end of windows only, to bound the control traffic. */
const maxNodesOfFrequentShares = 128;
/** Keeps nodes from sharing all at the same moment. */
const jitterShare = 0.04;
/** Windows that are kept beyond those that may still be reported. */
const extraWindows = 2;
/** Clocks that are not corrected yet may be ahead by some windows. */
const maxWindowsAhead = 3;
const maxNameLength = 1000;
const noWindow = -1;

/**
 * Node that counted, its process, window, the sender's wall clock (0 if it passes on what another
 * node counted), last recorded window, counts.
 */
const rowSchema = z.tuple([
  z.string().max(maxNameLength),
  z.int(),
  z.int(),
  z.number(),
  z.int(),
  z.record(z.string().max(maxNameLength), z.int().min(0)),
]);

const sumOf = (counts: ReadonlyMap<string, number>): number =>
  [...counts.values()].reduce((sum, count) => sum + count, 0);

export const UsageCounts = {
  create: (clock: Clock, random: Random, options: UsageCountsOptions): UsageCounts => {
    const { node, incarnation, windowMs, lateMs } = options;
    const offset = ClockOffset.create();
    const windows = UsageWindows.create(node, incarnation);
    const counted = new WeakSet<Call>();
    /** Requests of this process that the other nodes know, by window. */
    const sharedSums = new Map<number, number>();
    let lastRecorded = noWindow;
    let cancelShare = (): void => undefined;

    const nowMs = (): number => clock.wallMs() + offset.offsetMs();
    const currentWindow = (): number => windowAt(nowMs(), windowMs);
    const startWindow = currentWindow();
    const keptWindows = Math.ceil(lateMs / windowMs) + extraWindows;

    const encode = (row: UsageRow, wallMs: number): RowFields => [
      row.node,
      row.incarnation,
      row.window,
      wallMs,
      lastRecorded,
      Object.fromEntries(row.counts),
    ];
    const emptyRow = (): UsageRow => ({
      node,
      incarnation,
      window: currentWindow(),
      counts: new Map(),
    });

    const isPlausible = (window: number): boolean =>
      window >= currentWindow() - keptWindows && window <= currentWindow() + maxWindowsAhead;

    const onRecorded = (window: number): void => {
      // A window far ahead would keep all later ones from being reported.
      if (window > lastRecorded && window <= currentWindow() + maxWindowsAhead) {
        lastRecorded = window;
      }
    };

    const receive = (sender: string, fields: RowFields): boolean => {
      const parsed = rowSchema.safeParse(fields);
      if (!parsed.success) {
        return false;
      }
      const [origin, process, window, wallMs, recorded, counts] = parsed.data;
      if (origin === sender && wallMs > 0) {
        offset.record(sender, wallMs - clock.wallMs());
      }
      onRecorded(recorded);
      if (isPlausible(window)) {
        const row = { node: origin, incarnation: process, window };
        windows.merge({ ...row, counts: new Map(Object.entries(counts)) });
      }
      return true;
    };

    const share = options.openTopic({
      name: usageTopic,
      receive,
      // A node behind a relay gets rows of its relay only, so these include what others counted.
      snapshot: () => {
        const rows = windows.rows();
        const ownRow = rows.findLast((row) => row.node === node) ?? emptyRow();
        return [ownRow, ...rows.filter((row) => row !== ownRow)].map((row) =>
          encode(row, row.node === node ? clock.wallMs() : 0),
        );
      },
      onNodeLost: offset.forget,
    });

    const shareNew = (): void => {
      const current = currentWindow();
      for (const window of [current - 1, current]) {
        const row = windows.own(window);
        const sum = row === undefined ? 0 : sumOf(row.counts);
        if (row !== undefined && sum > (sharedSums.get(window) ?? 0)) {
          sharedSums.set(window, sum);
          share(encode(row, clock.wallMs()));
        }
      }
      windows.forgetBefore(current - keptWindows);
      for (const window of sharedSums.keys()) {
        if (window < current - 1) {
          sharedSums.delete(window);
        }
      }
    };

    const scheduleShare = (): void => {
      const parts = options.nodeCount() > maxNodesOfFrequentShares ? 1 : sharesPerWindow;
      const partMs = windowMs / parts;
      const waitMs = partMs - (nowMs() % partMs) + random() * jitterShare * windowMs;
      cancelShare = clock.after(waitMs, () => {
        shareNew();
        scheduleShare();
      });
    };
    share(encode(emptyRow(), clock.wallMs()));
    scheduleShare();

    return {
      countBegun: (call) => {
        if (call.account !== undefined && !counted.has(call)) {
          counted.add(call);
          windows.add(call.account.name, currentWindow());
        }
      },
      nowMs,
      totals: windows.totals,
      firstWindow: () => Math.min(startWindow, windows.firstWindow() ?? startWindow),
      lastRecordedWindow: () => (lastRecorded === noWindow ? undefined : lastRecorded),
      onRecorded,
      stop: () => {
        cancelShare();
        shareNew();
      },
    };
  },
};
