/** An upstream that was lost while it began to work on certain requests. */
export interface Crash {
  readonly upstream: string;
  readonly atMs: number;
  /** When the last of these requests was sent. */
  readonly sentAtMs: number;
  /** Nodes that lost their connections to the upstream. */
  readonly witnesses: ReadonlySet<string>;
}

/** A loss of one request, as one node has seen it. */
export interface SeenLoss {
  readonly upstream: string;
  readonly atMs: number;
  readonly sentAtMs: number;
  readonly witness: string;
}

/** Crashes in order of time, each once, however many nodes and requests have lost something by it. */
export interface CrashList {
  readonly add: (loss: SeenLoss) => void;
  /** Whether the crash is one of the list, of which another node may know another time. */
  readonly includes: (crash: Crash) => boolean;
  /** Crashes after this time. */
  readonly since: (atMs: number) => readonly Crash[];
}

export interface SeparationOptions {
  /** Whether crashes count that took requests which were in flight at the crash before. */
  readonly countsOverlapping: boolean;
}

/** How long a loss counts. */
export const lossLifeMs = 300_000;
/** Upstreams lost closer together have a common cause, such as a failed link or data centre. */
const minCrashSpacingMs = 20;
/** Losses at one upstream within this time are one crash, unless it has received requests since. */
const sameCrashMs = 1000;
/** A request sent this long after a crash was sent to an upstream that is back. */
const sentAfterCrashMs = 100;
const maxCrashes = 32;

const isSameCrash = (
  a: { readonly upstream: string; readonly atMs: number; readonly sentAtMs: number },
  b: { readonly upstream: string; readonly atMs: number; readonly sentAtMs: number },
): boolean =>
  a.upstream === b.upstream &&
  Math.abs(a.atMs - b.atMs) < sameCrashMs &&
  a.sentAtMs <= b.atMs + sentAfterCrashMs &&
  b.sentAtMs <= a.atMs + sentAfterCrashMs;

export const CrashList = {
  create: (): CrashList => {
    let crashes: readonly Crash[] = [];
    return {
      add: ({ witness, ...loss }) => {
        const known = crashes.find((crash) => isSameCrash(crash, loss));
        const crash: Crash = {
          upstream: loss.upstream,
          atMs: Math.min(loss.atMs, known?.atMs ?? Infinity),
          sentAtMs: Math.max(loss.sentAtMs, known?.sentAtMs ?? -Infinity),
          witnesses: new Set([...(known?.witnesses ?? []), witness]),
        };
        crashes = [...crashes.filter((other) => other !== known), crash]
          .sort((a, b) => a.atMs - b.atMs)
          .slice(-maxCrashes);
      },
      includes: (crash) => crashes.some((other) => isSameCrash(other, crash)),
      since: (atMs) => crashes.filter((crash) => crash.atMs > atMs),
    };
  },

  /** Those of the crashes that have no cause in common with the one before. */
  separate: (
    crashes: readonly Crash[],
    { countsOverlapping }: SeparationOptions,
  ): readonly Crash[] => {
    const separate: Crash[] = [];
    for (const crash of crashes) {
      const lastAtMs = separate.at(-1)?.atMs ?? -Infinity;
      const isApart = crash.atMs - lastAtMs >= minCrashSpacingMs;
      if (isApart && (countsOverlapping || crash.sentAtMs >= lastAtMs)) {
        separate.push(crash);
      }
    }
    return separate;
  },
};
