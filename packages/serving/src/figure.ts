/**
 * What nodes measure of an upstream:
 * - `msPerPromptToken`: time to the first event for each prompt token that waits;
 * - `latencyMs`: time that successful responses take;
 * - `failureShare`: share of responses that failed, 0 to 1;
 * - `msPerToken`: time per token of streams after their first event, at a batch size.
 */
export type FigureKind = 'msPerPromptToken' | 'latencyMs' | 'failureShare' | 'msPerToken';

/** A mean of observations, of which later ones count more. */
export interface Figure {
  readonly value: number;
  /** Number of observations that it rests on, at `atMs`; they count for less as time passes. */
  readonly weight: number;
  readonly atMs: number;
  /** Mean number of requests at the upstream, for kinds that depend on it. */
  readonly batch?: number;
}

/** Bounds of the weight that earlier observations of a kind have beside a new one. */
interface WeightBounds {
  readonly min: number;
  readonly max: number;
}

/**
 * The lower bounds give a new observation the share of 0.4 or 0.2 that it has where a node measures
 * alone. The upper ones are for many nodes that measure one upstream: the mean is steadier and still
 * follows a change within a few observations, as an engine warms up within seconds.
 */
const weightBounds: Readonly<Record<FigureKind, WeightBounds>> = {
  msPerPromptToken: { min: 1.5, max: 4 },
  latencyMs: { min: 4, max: 12 },
  failureShare: { min: 4, max: 12 },
  msPerToken: { min: 1.5, max: 4 },
};

/** VMs are shared with other programs, so that speeds change within some tens of seconds. */
const halfLifeMs = 10_000;

/** Weight of the typical value beside a figure: small, so that a fresh observation stands. */
const typicalWeight = 0.2;

/** The observations that a figure still counts for. */
export const weightAt = (figure: Figure | undefined, nowMs: number): number =>
  figure === undefined ? 0 : figure.weight * 2 ** (-Math.max(0, nowMs - figure.atMs) / halfLifeMs);

/** Merges one or more new observations into a figure. */
export const mergeFigure = (
  kind: FigureKind,
  known: Figure | undefined,
  observed: Figure,
  nowMs: number,
): Figure => {
  const { min, max } = weightBounds[kind];
  const observedWeight = weightAt(observed, nowMs);
  const knownWeight = weightAt(known, nowMs);
  if (known === undefined && kind !== 'failureShare') {
    return { ...observed, weight: Math.min(max, observedWeight), atMs: nowMs };
  }
  // An upstream without a response has failed in none.
  const earlier = known?.value ?? 0;
  const earlierWeight = Math.min(max, Math.max(min, knownWeight));
  const share = observedWeight / (observedWeight + earlierWeight);
  const batch = observed.batch ?? known?.batch;
  const earlierBatch = known?.batch ?? batch;
  return {
    ...(batch === undefined || earlierBatch === undefined
      ? {}
      : { batch: earlierBatch + share * (batch - earlierBatch) }),
    value: earlier + share * (observed.value - earlier),
    weight: Math.min(max, knownWeight + observedWeight),
    atMs: nowMs,
  };
};

/**
 * The value to decide by: with its age a figure approaches the typical one, so that an upstream that
 * was slow once is tried again.
 */
export const agedValue = (
  figure: Figure | undefined,
  typicalValue: number,
  nowMs: number,
): number => {
  const weight = weightAt(figure, nowMs);
  return figure === undefined
    ? typicalValue
    : (weight * figure.value + typicalWeight * typicalValue) / (weight + typicalWeight);
};
