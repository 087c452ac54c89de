/** Requests that one process has counted in one window. */
export interface UsageRow {
  readonly node: string;
  /** Process of the node. */
  readonly incarnation: number;
  readonly window: number;
  /** Requests by client account. */
  readonly counts: ReadonlyMap<string, number>;
}

/** Counts of begun requests by window, of this process and of all others. */
export interface UsageWindows {
  readonly add: (account: string, window: number) => void;
  /** Takes the counts of a process; returns false if they are not newer than the known ones. */
  readonly merge: (row: UsageRow) => boolean;
  /** What this process has counted in a window; undefined if it has counted nothing. */
  readonly own: (window: number) => UsageRow | undefined;
  readonly rows: () => readonly UsageRow[];
  /** Requests of all processes in a window, by client account. */
  readonly totals: (window: number) => ReadonlyMap<string, number>;
  /** First window of which any counts are known. */
  readonly firstWindow: () => number | undefined;
  readonly forgetBefore: (window: number) => void;
}

const sumOf = (counts: ReadonlyMap<string, number>): number => {
  let sum = 0;
  for (const count of counts.values()) {
    sum += count;
  }
  return sum;
};

export const UsageWindows = {
  create: (node: string, incarnation: number): UsageWindows => {
    /** Rows by window, then by process. */
    const windows = new Map<number, Map<string, UsageRow>>();
    const ownKey = `${node}/${String(incarnation)}`;

    const processesOf = (window: number): Map<string, UsageRow> => {
      const known = windows.get(window);
      if (known !== undefined) {
        return known;
      }
      const created = new Map<string, UsageRow>();
      windows.set(window, created);
      return created;
    };

    return {
      add: (account, window) => {
        const processes = processesOf(window);
        const counts = new Map(processes.get(ownKey)?.counts);
        counts.set(account, (counts.get(account) ?? 0) + 1);
        processes.set(ownKey, { node, incarnation, window, counts });
      },
      merge: (row) => {
        const key = `${row.node}/${String(row.incarnation)}`;
        const processes = processesOf(row.window);
        const known = processes.get(key);
        // Counts only grow, and rows may arrive out of order from several neighbours.
        if (key === ownKey || (known !== undefined && sumOf(known.counts) >= sumOf(row.counts))) {
          return false;
        }
        processes.set(key, row);
        return true;
      },
      own: (window) => windows.get(window)?.get(ownKey),
      rows: () => [...windows.values()].flatMap((processes) => [...processes.values()]),
      totals: (window) => {
        const totals = new Map<string, number>();
        for (const { counts } of windows.get(window)?.values() ?? []) {
          for (const [account, count] of counts) {
            totals.set(account, (totals.get(account) ?? 0) + count);
          }
        }
        return totals;
      },
      firstWindow: () => (windows.size === 0 ? undefined : Math.min(...windows.keys())),
      forgetBefore: (window) => {
        for (const known of windows.keys()) {
          if (known < window) {
            windows.delete(known);
          }
        }
      },
    };
  },
};
