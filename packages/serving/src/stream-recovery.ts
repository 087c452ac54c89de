/** A stream whose engine failed, fell silent or refused to continue it. */
export interface InterruptedStream {
  /** Whether another engine may run the stream again after the last event that the caller has. */
  readonly resumable: boolean;
  /**
   * Whether the engine that was lost had sent an event. Before that no copy of the run is known to
   * exist, and an engine that gets the request may run it anew.
   */
  readonly hasBegun: boolean;
  /** Whether an engine that still serves was to keep a copy of the run. */
  readonly hasBackup: boolean;
  /** Times that the run was continued from a copy. */
  readonly continuations: number;
  /** Runs that were begun for this request. */
  readonly runs: number;
  /** Runs that the route allows. */
  readonly maxRuns: number;
}

/** How an interrupted stream goes on. */
export type StreamRecovery = 'continue-from-copy' | 'run-again' | 'end';

/** Continuations after which a stream that loses its engine once more does not use copies. */
const maxContinuations = 8;

/**
 * Decides how a stream goes on that lost its engine. This is for engines that crash, are reclaimed
 * or are cut off while they stream: a copy saves the prompt from being read again, so it goes
 * first; without one, only a stream that may be repeated can go on.
 */
export const decideRecovery = (stream: InterruptedStream): StreamRecovery => {
  if (stream.hasBegun && stream.hasBackup && stream.continuations < maxContinuations) {
    return 'continue-from-copy';
  }
  return stream.resumable && stream.runs < stream.maxRuns ? 'run-again' : 'end';
};

/** Objectives of a stream and how it can go on, from which its longest silence follows. */
export interface SilentStream {
  /** Latency objective of the first event. */
  readonly goalMs: number;
  /** Latency objective of the gap between events. */
  readonly gapGoalMs: number;
  readonly recovery: StreamRecovery;
}

const minCallerPatienceMs = 2000;
const goalsOfPatience = 4;
const gapsOfPatience = 8;
/** Share of the caller's patience after which a silent stream runs again at another engine. */
const runAgainPatienceShare = 0.5;
/**
 * Share of it after which a stream continues from a copy. It is the last chance: an engine that is
 * short of memory may be silent for seconds and go on, and the copy may be gone.
 */
const copyPatienceShare = 0.7;
/** Share of it for which a stream waits until its engine is known to have ended the run. */
const runEndPatienceShare = 0.15;

/** Time without a new event after which callers abandon a stream, in milliseconds. */
export const callerPatienceMs = (goalMs: number, gapGoalMs: number): number =>
  Math.max(minCallerPatienceMs, goalsOfPatience * goalMs, gapsOfPatience * gapGoalMs);

/** Time for which a stream waits for its engine to confirm that it has ended the run. */
export const maxRunEndWaitMs = (patienceMs: number): number => patienceMs * runEndPatienceShare;

/**
 * Time without a new event after which a stream is taken away from its engine. This is for engines
 * that stall, or send bytes that complete no event. A stream that can't go on elsewhere keeps its
 * engine until its deadline, as a slow one may still complete.
 */
export const maxSilenceMs = (stream: SilentStream): number => {
  const patienceMs = callerPatienceMs(stream.goalMs, stream.gapGoalMs);
  switch (stream.recovery) {
    case 'run-again':
      return patienceMs * runAgainPatienceShare;
    case 'continue-from-copy':
      return patienceMs * copyPatienceShare;
    case 'end':
      return Infinity;
  }
};
