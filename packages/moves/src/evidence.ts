import {
  betweenTokensBucketBoundsMs,
  firstTokenBucketBoundsMs,
  type Milliseconds,
  type ServiceId,
  type VersionEvidence,
  type VersionId,
} from '@zinniagrade/types';

/** Evidence by version and route. */
export type EvidenceTable = Readonly<Record<string, VersionEvidence>>;

/** A version id contains no line break, so the key is unique. */
const keyOf = (version: VersionId, route: string): string => `${version}\n${route}`;

const bucketOf = (bounds: readonly number[], value: Milliseconds): number => {
  const index = bounds.findIndex((bound) => value <= bound);
  return index < 0 ? bounds.length : index;
};

/** One answer as observed by the data path. */
export interface Outcome {
  readonly version: VersionId;
  readonly service: ServiceId;
  readonly route: string;
  readonly failed: boolean;
  readonly firstTokenMs?: Milliseconds;
  /** Mean time between tokens over the whole answer. */
  readonly betweenTokensMs?: Milliseconds;
}

const countsOf = (bounds: readonly number[], value?: Milliseconds): readonly number[] => {
  const counts = new Array<number>(bounds.length + 1).fill(0);
  if (value !== undefined) {
    counts[bucketOf(bounds, value)] = 1;
  }
  return counts;
};

/** The evidence from a single answer. */
export const evidenceOf = (outcome: Outcome): VersionEvidence => ({
  version: outcome.version,
  service: outcome.service,
  route: outcome.route,
  succeeded: outcome.failed ? 0 : 1,
  failed: outcome.failed ? 1 : 0,
  firstTokenCounts: countsOf(firstTokenBucketBoundsMs, outcome.firstTokenMs),
  betweenTokensCounts: countsOf(betweenTokensBucketBoundsMs, outcome.betweenTokensMs),
});

/** What is known of the latency of a request that has no outcome, for example as it is open. */
export const latencyEvidenceOf = (latency: Omit<Outcome, 'failed'>): VersionEvidence => ({
  ...evidenceOf({ ...latency, failed: false }),
  succeeded: 0,
});

interface MutableEvidence extends VersionEvidence {
  succeeded: number;
  failed: number;
  firstTokenCounts: number[];
  betweenTokensCounts: number[];
}

/** Copies field by field and uses `slice` for speed: this runs for every answer. */
const copyOf = (evidence: VersionEvidence): MutableEvidence => ({
  version: evidence.version,
  service: evidence.service,
  route: evidence.route,
  succeeded: evidence.succeeded,
  failed: evidence.failed,
  firstTokenCounts: evidence.firstTokenCounts.slice(),
  betweenTokensCounts: evidence.betweenTokensCounts.slice(),
});

const addCounts = (to: number[], counts: readonly number[]): void => {
  for (let index = 0; index < to.length; index += 1) {
    to[index] = (to[index] ?? 0) + (counts[index] ?? 0);
  }
};

const addTo = (sum: MutableEvidence, part: VersionEvidence): void => {
  sum.succeeded += part.succeeded;
  sum.failed += part.failed;
  addCounts(sum.firstTokenCounts, part.firstTokenCounts);
  addCounts(sum.betweenTokensCounts, part.betweenTokensCounts);
};

const negated = (evidence: VersionEvidence): VersionEvidence => ({
  ...evidence,
  succeeded: -evidence.succeeded,
  failed: -evidence.failed,
  firstTokenCounts: evidence.firstTokenCounts.map((count) => -count),
  betweenTokensCounts: evidence.betweenTokensCounts.map((count) => -count),
});

/** Adds counts to those of the same version and route. Each changed sum is copied only once. */
export const addEvidence = (
  table: EvidenceTable,
  evidence: readonly VersionEvidence[],
): EvidenceTable => {
  const sums: Record<string, VersionEvidence> = { ...table };
  const copies = new Map<string, MutableEvidence>();
  for (const part of evidence) {
    const key = keyOf(part.version, part.route);
    const copy = copies.get(key);
    if (copy !== undefined) {
      addTo(copy, part);
      continue;
    }
    const before = sums[key];
    if (before === undefined) {
      sums[key] = part;
      continue;
    }
    const newCopy = copyOf(before);
    addTo(newCopy, part);
    copies.set(key, newCopy);
    sums[key] = newCopy;
  }
  return sums;
};

/** The counts added between `earlier` and `later`. */
export const subtractEvidence = (later: EvidenceTable, earlier: EvidenceTable): EvidenceTable =>
  addEvidence(later, Object.values(earlier).map(negated));

export const evidenceOnRoute = (
  table: EvidenceTable,
  version: VersionId,
  route: string,
): VersionEvidence | undefined => table[keyOf(version, route)];

/** The counts of a version summed over all routes. */
export const evidenceOverall = (
  table: EvidenceTable,
  version: VersionId,
): VersionEvidence | undefined => {
  let sum: MutableEvidence | undefined;
  for (const evidence of Object.values(table)) {
    if (evidence.version !== version) {
      continue;
    }
    if (sum === undefined) {
      sum = copyOf(evidence);
    } else {
      addTo(sum, evidence);
    }
  }
  return sum;
};

export const routesOf = (table: EvidenceTable): readonly string[] => [
  ...new Set(Object.values(table).map(({ route }) => route)),
];
