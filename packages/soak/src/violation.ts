/** A violated guarantee: `promise` names it, `detail` says what was observed. */
export interface Violation {
  readonly promise: string;
  readonly detail: string;
}
