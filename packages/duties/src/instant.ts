/** One moment on both clocks of a process. */
export interface Instant {
  readonly monotonicMs: number;
  readonly wallMs: number;
}

/**
 * Time that has certainly not been exceeded by less: the monotonic clock stands still while a VM is
 * suspended, and the wall clock may be set back.
 */
export const longestElapsedMs = (since: Instant, now: Instant): number =>
  Math.max(now.monotonicMs - since.monotonicMs, now.wallMs - since.wallMs);
