/** A request of this node at an upstream. */
export interface OpenRequest {
  readonly sentAtMs: number;
}

/**
 * What this node's own connections show of whether it reaches the upstreams of one service. Mutable,
 * because it is updated with each piece of a response.
 */
export interface Reach {
  /** Requests of this node at the service's upstreams, the oldest first. */
  readonly open: Set<OpenRequest>;
  /** Upstreams to which a new connection was tried since the last contact. */
  readonly tried: Set<string>;
  /** Those of them to which no new connection opened. */
  readonly failed: Set<string>;
  /** When bytes last arrived from one of the upstreams, or a connection to one opened. */
  lastContactAtMs: number;
  /** Whether a connection was lost since the last contact, or something else speaks for a cut. */
  isDoubted: boolean;
  /** Whether an open request has waited for longer than `maxSilenceMs` since the last contact. */
  isSilent: boolean;
  /** Silence after which an open request raises a doubt. */
  maxSilenceMs: number;
  /** When a connection last showed that a service is merely slow. */
  falseAlarmAtMs: number;
  isCutOff: boolean;
}

const initialMaxSilenceMs = 250;
/**
 * Upstreams that are merely slow raise doubts all the time, and each is answered by new connections,
 * which upstreams limit. Each false alarm doubles the silence that raises the next one, up to this.
 */
const longestMaxSilenceMs = 1000;
const falseAlarmMemoryMs = 5000;
/** A lost connection shows nothing while bytes arrive from other upstreams of the service. */
const quietBeforeTriesMs = 100;
/** Failed upstreams that suffice for a verdict; a service with fewer needs all of its upstreams. */
const sufficientFailures = 4;

export const createReach = (nowMs: number): Reach => ({
  open: new Set(),
  tried: new Set(),
  failed: new Set(),
  lastContactAtMs: nowMs,
  isDoubted: false,
  isSilent: false,
  maxSilenceMs: initialMaxSilenceMs,
  falseAlarmAtMs: -Infinity,
  isCutOff: false,
});

/** Forgets what was tried, so that all upstreams may be tried again. */
export const forgetTries = (reach: Reach): void => {
  reach.tried.clear();
  reach.failed.clear();
};

/** Records that bytes have arrived, or that a connection opened: the service is within reach. */
export const recordContact = (reach: Reach, nowMs: number): void => {
  reach.lastContactAtMs = nowMs;
  reach.isDoubted = false;
  reach.isSilent = false;
  reach.isCutOff = false;
  forgetTries(reach);
};

/** Records that a connection was lost or failed, a load was not read, or another service is silent. */
export const recordDoubt = (reach: Reach): void => {
  reach.isDoubted = true;
};

export const recordTry = (reach: Reach, upstream: string): void => {
  reach.tried.add(upstream);
};

export const recordOpenedTry = (reach: Reach, upstream: string, nowMs: number): void => {
  if (reach.isSilent && !reach.isCutOff && reach.tried.has(upstream)) {
    reach.maxSilenceMs = Math.min(longestMaxSilenceMs, 2 * reach.maxSilenceMs);
    reach.falseAlarmAtMs = nowMs;
  }
  recordContact(reach, nowMs);
};

/** A try that began before the last contact shows nothing. */
export const recordFailedTry = (reach: Reach, upstream: string): void => {
  if (reach.tried.has(upstream)) {
    reach.failed.add(upstream);
  }
};

/** Whether new connections have to show that the service is within reach. */
export const isSuspect = (reach: Reach, nowMs: number): boolean => {
  if (nowMs - reach.falseAlarmAtMs > falseAlarmMemoryMs) {
    reach.maxSilenceMs = initialMaxSilenceMs;
  }
  for (const { sentAtMs } of reach.open) {
    // The oldest request has waited for the longest time.
    reach.isSilent ||= nowMs - Math.max(sentAtMs, reach.lastContactAtMs) >= reach.maxSilenceMs;
    break;
  }
  const isDoubted = reach.isDoubted || reach.isSilent;
  return isDoubted && nowMs - reach.lastContactAtMs >= quietBeforeTriesMs;
};

/**
 * Whether the tries show that this node is cut off from all these upstreams, which are all that a
 * service has. Slow or silent upstreams that accept connections don't, nor does a part of them that
 * has crashed.
 */
export const showsCutOff = (reach: Reach, upstreams: readonly string[]): boolean => {
  for (const upstream of reach.tried) {
    if (!reach.failed.has(upstream)) {
      return false;
    }
  }
  const failures = upstreams.filter((upstream) => reach.failed.has(upstream)).length;
  return failures > 0 && failures >= Math.min(sufficientFailures, upstreams.length);
};
