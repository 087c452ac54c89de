import type { Milliseconds } from '@zinniagrade/types';

/** Faults to inject. Shares are probabilities per exchange; times count from the start. */
export interface CallFaults {
  /** The call is executed and its answer is lost. */
  readonly lostReplyShare?: number;
  /** The node times out before the call is executed. */
  readonly lateRunShare?: number;
  /**
   * The upstream refuses the call, is unreachable, or resets the connection before it executes the
   * call.
   */
  readonly refusedShare?: number;
  readonly unreachableShare?: number;
  readonly resetShare?: number;
  /** The store writes a claim and its reply is lost. */
  readonly lostStoreReplyShare?: number;
  readonly storeOutage?: Interval;
  /** Number of times that a node's process is killed at a random time and restarted later. */
  readonly kills?: number;
  readonly freezes?: number;
  /** Share of the calls forwarded between nodes that are lost. */
  readonly lostForwardShare?: number;
  /**
   * Share of the calls with a caller-chosen key that are sent again, to a random node, before the
   * answer.
   */
  readonly repeatShare?: number;
}

export interface Interval {
  readonly fromMs: Milliseconds;
  readonly toMs: Milliseconds;
}

export interface CallSimulationOptions {
  readonly seed: number;
  readonly policy: 'naive' | 'current';
  readonly faults: CallFaults;
  readonly calls?: number;
  /** Number of nodes that a caller tries in turn until one returns a result. */
  readonly callerAttempts?: number;
  /** Share of the calls whose idempotency key is chosen by the caller; the others use a ticket. */
  readonly chosenKeyShare?: number;
}

export interface CallSimulationOutcome {
  readonly calls: number;
  readonly answered: number;
  /** Calls that were executed more than once. */
  readonly duplicateExecutions: number;
  /** Calls that were executed although every attempt reported to the caller that they were not. */
  readonly falselyReportedNotRun: number;
  /** Calls made during the store outage, and those of them that were answered, by kind of key. */
  readonly outageTicketCalls: number;
  readonly outageTicketAnswered: number;
  readonly outageChosenKeyCalls: number;
  readonly outageChosenKeyAnswered: number;
}
