/** Correction of this node's wall clock by those of all other nodes. */
export interface ClockOffset {
  /** Takes the difference between the clock of a node and this one's, when a row arrives. */
  readonly record: (node: string, differenceMs: number) => void;
  readonly forget: (node: string) => void;
  /** To be added to this node's wall clock. */
  readonly offsetMs: () => number;
}

/** The last two differences to one node. */
interface Differences {
  readonly last: number;
  readonly before: number | undefined;
}

/** Delays of rows only lower a difference, for example while this process is suspended. */
const leastDelayed = ({ last, before }: Differences): number =>
  before === undefined ? last : Math.max(last, before);

export const ClockOffset = {
  create: (): ClockOffset => {
    const differences = new Map<string, Differences>();
    return {
      record: (node, differenceMs) => {
        differences.set(node, { last: differenceMs, before: differences.get(node)?.last });
      },
      forget: (node) => {
        differences.delete(node);
      },
      offsetMs: () => {
        // The median with this node's own clock: a few clocks that are off by seconds don't move it.
        const sorted = [0, ...[...differences.values()].map(leastDelayed)].sort((a, b) => a - b);
        const upper = sorted[Math.floor(sorted.length / 2)] ?? 0;
        const lower = sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
        return (lower + upper) / 2;
      },
    };
  },
};
