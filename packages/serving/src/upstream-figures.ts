import { mergeFigure, weightAt, type Figure, type FigureKind } from './figure.js';

/** Observations of this node that other nodes don't know yet. */
export interface UnsharedFigure {
  readonly kind: FigureKind;
  readonly value: number;
  readonly weight: number;
  /** Mean time of the observations. */
  readonly atMs: number;
  readonly batch?: number;
  /** How much the other nodes need it; only for comparisons. */
  readonly urgency: number;
}

/** Figures of one upstream, from the observations of this node and of others. */
export interface UpstreamFigures {
  /** Undefined until there is an observation. */
  readonly figure: (kind: FigureKind) => Figure | undefined;
  /** Adds an observation of this node, which is shared only if it says something to other nodes. */
  readonly observe: (
    kind: FigureKind,
    value: number,
    nowMs: number,
    isShared: boolean,
    batch?: number,
  ) => void;
  /** Adds observations of another node. */
  readonly receive: (kind: FigureKind, observed: Figure, nowMs: number) => void;
  /** Takes over the figure of a node that knows more, as this one has just started. */
  readonly adopt: (kind: FigureKind, figure: Figure, nowMs: number) => void;
  /** What is to be shared now; forgets what is too old to matter. */
  readonly unshared: (nowMs: number) => readonly UnsharedFigure[];
  readonly markShared: (kind: FigureKind, nowMs: number) => void;
  /** Forgets everything, as the upstream has restarted. */
  readonly reset: (nowMs: number) => void;
}

interface Pending {
  sum: number;
  count: number;
  timeSum: number;
  batchSum: number | undefined;
  readonly sinceMs: number;
}

interface FigureState {
  /** From all observations that this node knows of. */
  merged: Figure | undefined;
  /** From those that all nodes know of. */
  common: Figure | undefined;
  pending: Pending | undefined;
}

/** A change by this share is worth a message at once. */
const notableChange = 0.1;
/** Observations that change little are shared together after this time, as they make a figure surer. */
const maxPendingMs = 5000;
/** A figure of less weight counts as unknown to the other nodes. */
const minCommonWeight = 0.5;
/** Urgency of a figure that other nodes don't have. */
const unknownUrgency = 10;
/** One node's word counts for at most this many observations, so that no node outweighs the others. */
const maxReceivedWeight = 6;
/** An upstream that fails more rarely isn't avoided, so nobody needs to know. */
const minFailureShare = 0.02;
/** A node's figure takes the place of one with less than this share of its weight. */
const adoptedBelowShare = 0.5;

export const figureKinds: readonly FigureKind[] = [
  'msPerPromptToken',
  'latencyMs',
  'failureShare',
  'msPerToken',
];

const meanOf = ({ sum, count, timeSum, batchSum }: Pending): Figure => ({
  value: sum / count,
  weight: count,
  atMs: timeSum / count,
  ...(batchSum === undefined ? {} : { batch: batchSum / count }),
});

/** Difference to what other nodes know, in parts of it; for shares of failures the difference itself. */
const changeOf = (kind: FigureKind, value: number, common: Figure | undefined): number =>
  kind === 'failureShare'
    ? Math.abs(value - (common?.value ?? 0))
    : Math.abs(value - (common?.value ?? 0)) / Math.max(1e-6, common?.value ?? 0);

export const UpstreamFigures = {
  create: (): UpstreamFigures => {
    const states = new Map<FigureKind, FigureState>();
    /** Earlier observations are of an earlier start of the upstream, which had the same id. */
    let sinceMs = -Infinity;

    const stateOf = (kind: FigureKind): FigureState => {
      const known = states.get(kind);
      if (known !== undefined) {
        return known;
      }
      const state = { merged: undefined, common: undefined, pending: undefined };
      states.set(kind, state);
      return state;
    };

    const unsharedOf = (kind: FigureKind, nowMs: number): UnsharedFigure | undefined => {
      const state = states.get(kind);
      if (state?.pending === undefined) {
        return undefined;
      }
      const { value, weight, atMs, ...rest } = meanOf(state.pending);
      const { sinceMs: pendingSinceMs } = state.pending;
      const { common } = state;
      const change = changeOf(kind, value, common);
      const isIrrelevant =
        kind === 'failureShare' && Math.max(value, common?.value ?? 0) < minFailureShare;
      const isUnknown = kind !== 'failureShare' && weightAt(common, nowMs) < minCommonWeight;
      const isOld = nowMs - pendingSinceMs >= maxPendingMs;
      if (isIrrelevant && isOld) {
        // Else many old successes would hide the first failures.
        state.pending = undefined;
      }
      if (isIrrelevant || !(isUnknown || change >= notableChange || isOld)) {
        return undefined;
      }
      const urgency = isUnknown ? unknownUrgency : Math.min(unknownUrgency, change);
      return { kind, value, weight, atMs, ...rest, urgency };
    };

    return {
      figure: (kind) => states.get(kind)?.merged,
      observe: (kind, value, nowMs, isShared, batch) => {
        const state = stateOf(kind);
        const observed = {
          value,
          weight: 1,
          atMs: nowMs,
          ...(batch === undefined ? {} : { batch }),
        };
        state.merged = mergeFigure(kind, state.merged, observed, nowMs);
        if (isShared) {
          state.pending ??= { sum: 0, count: 0, timeSum: 0, batchSum: undefined, sinceMs: nowMs };
          state.pending.sum += value;
          state.pending.count += 1;
          state.pending.timeSum += nowMs;
          if (batch !== undefined) {
            state.pending.batchSum = (state.pending.batchSum ?? 0) + batch;
          }
        }
      },
      receive: (kind, observed, nowMs) => {
        if (observed.atMs < sinceMs) {
          return;
        }
        const state = stateOf(kind);
        const bounded = { ...observed, weight: Math.min(maxReceivedWeight, observed.weight) };
        state.merged = mergeFigure(kind, state.merged, bounded, nowMs);
        state.common = mergeFigure(kind, state.common, bounded, nowMs);
      },
      adopt: (kind, figure, nowMs) => {
        const state = stateOf(kind);
        const weight = weightAt(figure, nowMs);
        if (figure.atMs >= sinceMs && weightAt(state.merged, nowMs) < adoptedBelowShare * weight) {
          state.merged = figure;
          state.common = figure;
        }
      },
      unshared: (nowMs) => {
        const found: UnsharedFigure[] = [];
        for (const kind of figureKinds) {
          const unshared = unsharedOf(kind, nowMs);
          if (unshared !== undefined) {
            found.push(unshared);
          }
        }
        return found;
      },
      markShared: (kind, nowMs) => {
        const state = stateOf(kind);
        if (state.pending !== undefined) {
          const mean = meanOf(state.pending);
          const shared = { ...mean, weight: Math.min(maxReceivedWeight, mean.weight) };
          state.common = mergeFigure(kind, state.common, shared, nowMs);
          state.pending = undefined;
        }
      },
      reset: (nowMs) => {
        states.clear();
        sinceMs = nowMs;
      },
    };
  },
};
