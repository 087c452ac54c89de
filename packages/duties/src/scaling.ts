/**
 * Decides how many upstreams of a service should run in a data centre.
 *
 * This is for a load that rises in waves and jumps while upstreams take seconds to start and some of
 * them are reclaimed at any time. A running upstream costs little for each second; a request that is
 * refused or late costs far more. Therefore upstreams are ordered for the load that is expected once
 * they serve, and are given back one at a time, after a time in which none of them was needed.
 */

/** Limits that operators set for each data centre of a service. */
export interface ScalingLimits {
  readonly min: number;
  readonly max: number;
  /** Time from an order until the new upstreams serve. */
  readonly bootMs: number;
}

/** What is known of a service at one moment. Loads are in upstreams that would be full with them. */
export interface ScalingSample {
  readonly atMs: number;
  /** Load that all upstreams of the service have, in all data centres. */
  readonly load: number;
  /** Load that waits for an upstream or was refused lately; undefined if it isn't known. */
  readonly waiting: number | undefined;
  /** Upstreams of the service that take new requests, in all data centres. */
  readonly serving: number;
  /** Share of the capacity that new requests leave free for those of upstreams that leave. */
  readonly reserveShare: number;
  /** Load of the upstreams in the data centre that the order is for. */
  readonly localLoad: number;
  /** Upstreams in that data centre that take new requests. */
  readonly localServing: number;
  /** Whether the load of nearly all nodes is known. No upstream is given back without that. */
  readonly isWhole: boolean;
}

/** The data centres that share the load of a service. */
export interface LoadSharing {
  readonly dataCentre: string;
  /** Data centres in which the service runs and that are not withdrawn. */
  readonly dataCentres: readonly string[];
}

export interface ScalingOrder {
  readonly atMs: number;
  readonly count: number;
}

interface LoadAt {
  readonly atMs: number;
  /** With what waits. */
  readonly load: number;
  readonly isFull: boolean;
}

interface Observation extends LoadAt {
  readonly localServing: number;
  /** Upstreams that this data centre needs. */
  readonly needed: number;
  /** Upstreams that would be enough with the margin for a step down. */
  readonly ample: number;
}

/** State for one service in one data centre. */
export interface ScalingState {
  /** Observations of the last `calmMs`, oldest first. */
  readonly observations: readonly Observation[];
  /** When the first observation was made; undefined before it. */
  readonly sinceMs: number | undefined;
  /** Smoothed share of the ordered upstreams that serve. */
  readonly availability: number;
  /** Orders of the last time, oldest first; the last one is kept for ever. */
  readonly orders: readonly ScalingOrder[];
}

/**
 * Part of the capacity that is planned to be in use. Load is uneven among upstreams, lengths of
 * generations are estimates, and a full batch makes streams pause.
 */
const plannedShare = 0.75;
/** Time without need for an upstream before it is given back; covers three waves of 10 s. */
const calmMs = 30_000;
/** Part of what new requests may use at all that is planned to be in use, as the rest is refused. */
const plannedAdmittedShare = 0.9;
/** Load in relation to the expected one for which an upstream less must do, against flapping. */
const stepDownMargin = 1.08;
/** Time between two steps down, in which the streams of one upstream move to others. */
const stepDownIntervalMs = 10_000;
/** Time between two orders for more upstreams, so that single arrivals don't cause one each. */
const stepUpIntervalMs = 1000;
/** Observation time before the first order, so that an upstream about to be replaced is counted. */
const minObservedMs = 2000;
/** Time over which growth is measured. */
const growthWindowMs = 3000;
/**
 * Growth within the boot time that isn't answered, as a share of the load. With 17 arrivals a second
 * that last 10 s, a steady load appears to grow by about 9% in 4 s (one standard deviation).
 */
const ignoredGrowth = 0.1;
/** Bounds a forecast in relation to the load, because growth of a wave doesn't last. */
const maxGrowthFactor = 1.5;
/** Share of the capacity from which requests are assumed to wait when nobody tells. */
const fullShare = 0.9;
/** Assumed demand in relation to the load of full upstreams, which hide the rest of it. */
const hiddenDemandFactor = 1.25;
/** Time constant of the availability: a reclaimed upstream is replaced within about 6 s. */
const availabilityTimeMs = 20_000;
/** Bounds what is ordered in addition for a reserve. */
const maxReserveShare = 0.5;
/** Bounds what is ordered in addition when upstreams don't appear at all. */
const minAvailability = 0.5;
/** Time in addition to the stated boot time until a new upstream counts as missing. */
const registrationSlackMs = 4000;

export const initialScalingState: ScalingState = {
  observations: [],
  sinceMs: undefined,
  availability: 1,
  orders: [],
};

/** Upstreams that are to run by the last order, or have run without one. */
export const orderedCount = ({ orders, observations }: ScalingState): number =>
  orders.at(-1)?.count ?? Math.max(0, ...observations.map(({ localServing }) => localServing));

/** Upstreams that should serve by now, as all orders since their boot time ask for them. */
const expectedCount = (state: ScalingState, bootMs: number, nowMs: number): number => {
  const sinceMs = nowMs - bootMs - registrationSlackMs;
  let expected = orderedCount(state);
  for (const { atMs, count } of [...state.orders].reverse()) {
    expected = Math.min(expected, count);
    if (atMs <= sinceMs) {
      break;
    }
  }
  return expected;
};

const smoothAvailability = (state: ScalingState, sample: ScalingSample, bootMs: number): number => {
  const expected = expectedCount(state, bootMs, sample.atMs);
  const previousAtMs = state.observations.at(-1)?.atMs;
  if (expected === 0 || previousAtMs === undefined) {
    return state.availability;
  }
  const weight = 1 - Math.exp(-(sample.atMs - previousAtMs) / availabilityTimeMs);
  const current = Math.min(1, sample.localServing / expected);
  return state.availability + weight * (current - state.availability);
};

/** Growth of the load per millisecond, by least squares. */
const growthOf = (recent: readonly LoadAt[]): number => {
  let meanMs = 0;
  let meanLoad = 0;
  for (const { atMs, load } of recent) {
    meanMs += atMs / recent.length;
    meanLoad += load / recent.length;
  }
  let covariance = 0;
  let variance = 0;
  for (const { atMs, load } of recent) {
    covariance += (atMs - meanMs) * (load - meanLoad);
    variance += (atMs - meanMs) ** 2;
  }
  return variance === 0 ? 0 : covariance / variance;
};

/** The load that upstreams ordered now will find. */
const forecastLoad = (
  observations: readonly LoadAt[],
  sample: ScalingSample,
  bootMs: number,
): number => {
  const known = sample.load + (sample.waiting ?? 0);
  const recent = observations.filter(({ atMs }) => atMs >= sample.atMs - growthWindowMs);
  const hidesDemand =
    sample.waiting === undefined && recent.length > 1 && recent.every(({ isFull }) => isFull);
  const demand = hidesDemand ? known * hiddenDemandFactor : known;
  const observedMs = sample.atMs - (recent[0]?.atMs ?? sample.atMs);
  if (observedMs < growthWindowMs / 2) {
    return demand;
  }
  const growth = growthOf(recent) * bootMs - ignoredGrowth * demand;
  return Math.min(demand + Math.max(0, growth), demand * maxGrowthFactor);
};

/** Part of a number of upstreams that runs in one data centre, alike at all nodes. */
export const shareOfDataCentre = (
  total: number,
  { dataCentre, dataCentres }: LoadSharing,
): number => {
  const ordered = [...dataCentres].sort();
  const index = ordered.indexOf(dataCentre);
  const remainder = total % ordered.length;
  return index < 0 ? 0 : Math.floor(total / ordered.length) + (index < remainder ? 1 : 0);
};

const clampTo = ({ min, max }: ScalingLimits, count: number): number =>
  Math.min(max, Math.max(min, count));

/** Adds a sample to the state. All nodes do so, so that each knows the last time as a new holder. */
export const observeScaling = (
  state: ScalingState,
  sample: ScalingSample,
  limits: ScalingLimits,
  sharing: LoadSharing,
): ScalingState => {
  const availability = smoothAvailability(state, sample, limits.bootMs);
  const admittedShare = 1 - Math.min(maxReserveShare, sample.reserveShare);
  const current = {
    atMs: sample.atMs,
    load: sample.load + (sample.waiting ?? 0),
    isFull: sample.load >= fullShare * admittedShare * sample.serving,
    localServing: sample.localServing,
  };
  const kept = state.observations.filter(({ atMs }) => atMs >= sample.atMs - calmMs);
  const forecast = forecastLoad([...kept, current], sample, limits.bootMs);
  const inUse = Math.min(plannedShare, plannedAdmittedShare * admittedShare);
  const upstreams = forecast / inUse / Math.max(minAvailability, availability);
  const countFor = (total: number): number =>
    clampTo(limits, shareOfDataCentre(Math.ceil(total), sharing));
  const observation = {
    ...current,
    needed: countFor(upstreams),
    ample: sample.isWhole ? countFor(upstreams * stepDownMargin) : Infinity,
  };
  return {
    ...state,
    sinceMs: state.sinceMs ?? sample.atMs,
    availability,
    observations: [...kept, observation],
  };
};

/** Records an order that was sent, by this node or by an earlier holder. */
export const recordOrder = (
  state: ScalingState,
  order: ScalingOrder,
  { bootMs }: ScalingLimits,
): ScalingState => {
  const sinceMs = order.atMs - bootMs - registrationSlackMs;
  // The order that was in force at that time began before it.
  const kept = state.orders.filter(
    (_, index) => (state.orders[index + 1]?.atMs ?? Infinity) >= sinceMs,
  );
  // Before the first order, what ran counts as ordered.
  const earlier = state.orders.length === 0 && state.observations.length > 0;
  const first = earlier ? [{ atMs: -Infinity, count: orderedCount(state) }] : [];
  return { ...state, orders: [...first, ...kept, order] };
};

/** Whether one upstream less carries what is in flight in this data centre. */
const canStepDown = (state: ScalingState, sample: ScalingSample, ordered: number): boolean => {
  const available = Math.max(minAvailability, state.availability);
  return (ordered - 1) * available >= sample.localLoad && ordered - 1 >= sample.localLoad;
};

/** The number of upstreams to order now; undefined if the last order stands. */
export const decideOrder = (
  state: ScalingState,
  sample: ScalingSample,
  limits: ScalingLimits,
  { dataCentre, dataCentres }: LoadSharing,
): number | undefined => {
  const { sinceMs, observations } = state;
  const latest = observations.at(-1);
  if (sinceMs === undefined || latest === undefined || !dataCentres.includes(dataCentre)) {
    return undefined;
  }
  const ordered = orderedCount(state);
  const observedMs = sample.atMs - sinceMs;
  const sinceOrderMs = sample.atMs - (state.orders.at(-1)?.atMs ?? -Infinity);
  if (latest.needed > ordered) {
    return observedMs >= minObservedMs && sinceOrderMs >= stepUpIntervalMs
      ? latest.needed
      : undefined;
  }
  const isCalm =
    observedMs >= calmMs &&
    sinceOrderMs >= stepDownIntervalMs &&
    observations.every(({ ample }) => ample < ordered);
  return isCalm && ordered > limits.min && canStepDown(state, sample, ordered)
    ? ordered - 1
    : undefined;
};
