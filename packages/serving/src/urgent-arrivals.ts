/** Memory that the arrivals of one priority at one node need. */
export interface UrgentNeed {
  readonly priority: number;
  readonly tokens: number;
  /** The largest of them. */
  readonly tokensEach: number;
  /** Rate at which they take memory. */
  readonly tokensPerMs: number;
}

/**
 * Measures how much memory the recent generations of each priority need to start without delay.
 *
 * This is for short urgent generations between long ones that fill the engines: engines preempt long
 * streams for them unless there is free memory. What a request may wait for, running generations free
 * meanwhile, so that memory for the arrivals of that time suffices.
 */
export interface UrgentArrivals {
  readonly record: (priority: number, tokens: number, maxWaitMs: number, nowMs: number) => void;
  readonly needs: (nowMs: number) => readonly UrgentNeed[];
}

interface Arrival {
  readonly atMs: number;
  readonly priority: number;
  readonly tokens: number;
  readonly maxWaitMs: number;
}

/** About one wave of the demand. */
const windowMs = 10_000;

export const UrgentArrivals = {
  create: (): UrgentArrivals => {
    const arrivals: Arrival[] = [];
    return {
      record: (priority, tokens, maxWaitMs, atMs) => {
        arrivals.push({ atMs, priority, tokens, maxWaitMs });
      },
      needs: (nowMs) => {
        while ((arrivals[0]?.atMs ?? nowMs) < nowMs - windowMs) {
          arrivals.shift();
        }
        const needs = new Map<number, UrgentNeed>();
        for (const { priority, tokens, maxWaitMs } of arrivals) {
          const before = needs.get(priority);
          needs.set(priority, {
            priority,
            tokens: (before?.tokens ?? 0) + (tokens * maxWaitMs) / windowMs,
            tokensEach: Math.max(before?.tokensEach ?? 0, tokens),
            tokensPerMs: (before?.tokensPerMs ?? 0) + tokens / windowMs,
          });
        }
        return [...needs.values()];
      },
    };
  },
};

/** Needs that changed by less are not worth telling other nodes. */
const needsTolerance = 0.25;

const isNear = (now: number, before: number): boolean =>
  Math.abs(now - before) <= needsTolerance * before;

/** Whether other nodes should learn of the needs as they are now. */
export const haveNeedsChanged = (
  before: readonly UrgentNeed[],
  now: readonly UrgentNeed[],
): boolean =>
  before.length !== now.length ||
  now.some(({ priority, tokens, tokensEach }) => {
    const known = before.find((need) => need.priority === priority);
    return (
      known === undefined || !isNear(tokensEach, known.tokensEach) || !isNear(tokens, known.tokens)
    );
  });
