import type { Milliseconds } from './ids.js';

/** Hybrid logical clock reading: wall clock and a counter for events in the same millisecond. */
export interface HybridTime {
  readonly wallMs: Milliseconds;
  readonly counter: number;
}

/** One event of the timeline of all processes. */
export interface TimelineEvent {
  readonly time: HybridTime;
  readonly process: string;
  readonly sequence: number;
  /** Event name in kebab case, for example `member-gone`. */
  readonly name: string;
  readonly fields: Readonly<Record<string, string | number | boolean>>;
}
