export type PromiseName =
  | 'tokens-once-in-order'
  | 'cold-upstream'
  | 'data-centre-withdrawn'
  | 'bad-version-share'
  | 'whole-answer-to-own-request'
  | 'not-run-is-true'
  | 'at-most-once'
  | 'leaving-upstream'
  | 'graceful-shutdown'
  | 'configuration-in-force';

export type Policy = 'naive' | 'current';

export interface Verdict {
  readonly held: boolean;
  /** What was observed; for a broken promise, with the seed that reproduces it. */
  readonly detail: string;
}

/**
 * A check of one promise under one fault. The policy `current` must keep the promise, and `naive`
 * must break it.
 */
export interface Proof {
  readonly promise: PromiseName;
  /** Kebab-case name of the fault, or two joined by `+`. */
  readonly fault: string;
  readonly run: (policy: Policy) => Promise<Verdict>;
}
