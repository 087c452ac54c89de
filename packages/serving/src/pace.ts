/**
 * How many requests all nodes together may have in flight at an upstream that has started, failed
 * or turned cold. Nodes tell each other the newest pace.
 */
export interface Pace {
  /** Number of changes of the pace of this upstream, by any node. */
  readonly step: number;
  /** Undefined for an upstream that gets its full share. */
  readonly limit: number | undefined;
  /** When this step began, on the monotonic clock of this node. */
  readonly sinceMs: number;
  /** When the rise began or was last set back. */
  readonly loweredAtMs: number;
  /** When the rise began. */
  readonly begunAtMs: number;
}

/** What the answer to one request says about the pace. */
export type PaceVerdict = 'usual' | 'slow' | 'failed';

export interface PaceEvidence {
  readonly verdict: PaceVerdict;
  readonly sentAtMs: number;
  /** Requests in flight over all nodes while this one was. */
  readonly inFlight: number;
}

/** What other nodes are told of a pace. */
export type PaceStep = Pick<Pace, 'step' | 'limit'>;

/** Share of the slots with which a rise begins; three steps lead to the full share from there. */
const startShare = 1 / 6;
/** Time for which a step lasts at least, so that most nodes know of it before the next one. */
const minStepMs = 100;
/**
 * A rise ends after this time without a setback: too few requests come to show more, or the
 * upstream is slow under any load, which placement takes into account.
 */
const maxCalmMs = 10_000;

/** A pace that is at its lowest is set back again after this time, so that nodes tell it rarely. */
const minSetbackMs = 500;

/** Shorter times vary by the load of the nodes. */
const minUsualMs = 30;
/** Answers up to this multiple of the usual time count as usual; VMs differ by 2.7 times. */
const usualFactor = 2;
/** Answers beyond this multiple count as slow. */
const slowFactor = 3;

/** The pace of an upstream of which nothing is known: its full share. */
export const fullPace: Pace = {
  step: 0,
  limit: undefined,
  sinceMs: -Infinity,
  loweredAtMs: -Infinity,
  begunAtMs: -Infinity,
};

const startLimit = (slots: number): number => Math.max(1, Math.round(slots * startShare));

/** Requests that may be in flight at an upstream; undefined if there is no limit. */
export const paceLimit = (pace: Pace, nowMs: number): number | undefined =>
  nowMs - pace.loweredAtMs > maxCalmMs ? undefined : pace.limit;

/** Compares how long an answer took with the usual time of the service, 0 if that isn't known. */
export const judgeSpeed = (tookMs: number, usualMs: number): PaceVerdict | undefined => {
  const comparedMs = Math.max(minUsualMs, usualMs);
  if (usualMs <= 0 || tookMs <= usualFactor * comparedMs) {
    return 'usual';
  }
  return tookMs > slowFactor * comparedMs ? 'slow' : undefined;
};

const lowerTo = (pace: Pace, limit: number, nowMs: number): Pace => ({
  step: pace.step + 1,
  limit,
  sinceMs: nowMs,
  loweredAtMs: nowMs,
  begunAtMs: paceLimit(pace, nowMs) === undefined ? nowMs : pace.begunAtMs,
});

/** Begins the rise of an upstream that has started, at which no earlier requests are in flight. */
export const beginPace = (pace: Pace, slots: number, nowMs: number): Pace => ({
  ...lowerTo(pace, startLimit(slots), nowMs),
  begunAtMs: nowMs,
});

/**
 * Begins the rise of an upstream that fails or has turned cold. If requests of others are in flight,
 * it may be sound, so that half of them is where it begins: with less, no new request could show
 * that until most of them have ended.
 */
export const reducePace = (pace: Pace, slots: number, inFlight: number, nowMs: number): Pace => {
  const limit = paceLimit(pace, nowMs) ?? Math.min(slots, inFlight);
  return lowerTo(pace, Math.max(startLimit(slots), Math.ceil(limit / 2)), nowMs);
};

/**
 * The next pace of a rising upstream after an answer; undefined if the answer changes nothing.
 *
 * This is for engines that are reclaimed and replaced all the time, and for plain upstreams that
 * recover under full load. A request from before a setback tells nothing about the pace since then,
 * and one that was nearly alone at the upstream doesn't show that it bears more.
 */
export const nextPace = (
  pace: Pace,
  { verdict, sentAtMs, inFlight }: PaceEvidence,
  slots: number,
  nowMs: number,
): Pace | undefined => {
  const limit = paceLimit(pace, nowMs);
  if (limit === undefined || sentAtMs < pace.loweredAtMs) {
    return undefined;
  }
  const isLowest = limit <= startLimit(slots);
  if (verdict === 'failed') {
    const isDue = !isLowest || nowMs - pace.loweredAtMs >= minSetbackMs;
    return isDue ? reducePace(pace, slots, inFlight, nowMs) : undefined;
  }
  if (verdict === 'slow') {
    return isLowest ? undefined : reducePace(pace, slots, inFlight, nowMs);
  }
  const isEarly = nowMs - pace.sinceMs < minStepMs || sentAtMs < pace.sinceMs;
  if (isEarly || 2 * inFlight < limit) {
    return undefined;
  }
  const doubled = 2 * limit;
  return {
    ...pace,
    step: pace.step + 1,
    limit: doubled >= slots ? undefined : doubled,
    sinceMs: nowMs,
  };
};

/**
 * Takes over what another node has found, if it is newer. Of two changes by different nodes at the
 * same step the lower limit counts, so that all nodes agree in whatever order they hear of them.
 */
export const mergePace = (pace: Pace, other: PaceStep, nowMs: number): Pace => {
  const before = pace.limit ?? Infinity;
  const next = other.limit ?? Infinity;
  if (other.step < pace.step || (other.step === pace.step && next >= before)) {
    return pace;
  }
  const isLowered = next <= before && other.limit !== undefined;
  const isNewRise = isLowered && paceLimit(pace, nowMs) === undefined;
  return {
    ...other,
    sinceMs: nowMs,
    loweredAtMs: isLowered ? nowMs : pace.loweredAtMs,
    begunAtMs: isNewRise ? nowMs : pace.begunAtMs,
  };
};

/**
 * How many nodes may send to a rising upstream, given the room that is left there and the requests
 * that others send within the time that announcements take. Each of the nodes would see the same
 * room otherwise, and fill it.
 */
export const countPaceSenders = (
  nodeCount: number,
  room: number,
  unknownPlacements: number,
): number =>
  unknownPlacements <= room
    ? nodeCount
    : Math.max(1, Math.ceil((nodeCount * room) / unknownPlacements));
