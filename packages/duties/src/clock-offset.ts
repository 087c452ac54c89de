/** Correction of this node's wall clock by those of all other nodes. */
export interface ClockOffset {
  /** Takes the difference between the clock of a node and this one's, when a row arrives. */
  readonly record: (node: string, differenceMs: number) => void;
  readonly forget: (node: string) => void;
  /** To be added to this node's wall clock. */
  readonly offsetMs: () => number;
}

export const ClockOffset = {
  create: (): ClockOffset => {
    const differences = new Map<string, number>();
    return {
      record: (node, differenceMs) => {
        differences.set(node, differenceMs);
      },
      forget: (node) => {
        differences.delete(node);
      },
      offsetMs: () => {
        // The median with this node's own clock: a few clocks that are off by seconds don't move it.
        const sorted = [0, ...differences.values()].sort((a, b) => a - b);
        const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
        const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
        return (lower + upper) / 2;
      },
    };
  },
};
