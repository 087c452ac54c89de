import type { Milliseconds } from '@zinniagrade/types';

/** The result of one move. A version is detectably bad once the ideal detector judges it bad. */
export interface MoveRecord {
  readonly outcome: 'done' | 'taken-back';
  /** True if the fleet judged the version bad. */
  readonly judgedBad: boolean;
  /**
   * Highest share of requests sent to the new version while it was bad, out of all requests so far,
   * before it was detectable.
   */
  readonly largestShareBeforeDetectable: number;
  /** Largest share in force at any node while the version was bad and not yet detectable. */
  readonly largestMomentaryShare: number;
  /** Time from the start of the move. */
  readonly detectableAtMs: Milliseconds | undefined;
  /** Time from when the version became detectable until the last request sent to it. */
  readonly lastRequestAfterDetectableMs: Milliseconds;
  readonly requestsAfterDetectable: number;
}

/** Counts the requests of one move before and after its bad version becomes detectable. */
export interface MoveRecorder {
  readonly onRequest: (
    usesNewVersion: boolean,
    isBad: boolean,
    share: number,
    at: Milliseconds,
  ) => void;
  readonly onDetectable: (at: Milliseconds) => void;
  readonly detectableAt: () => Milliseconds | undefined;
  readonly finish: (outcome: 'done' | 'taken-back', judgedBad: boolean) => MoveRecord;
}

export const MoveRecorder = {
  create: (): MoveRecorder => {
    let requests = 0;
    let badRequests = 0;
    let largestShareBeforeDetectable = 0;
    let largestMomentaryShare = 0;
    let detectableAtMs: Milliseconds | undefined;
    let lastRequestAfterDetectableMs = 0;
    let requestsAfterDetectable = 0;
    return {
      onRequest: (usesNewVersion, isBad, share, at) => {
        requests += 1;
        if (!usesNewVersion) {
          return;
        }
        if (detectableAtMs !== undefined) {
          requestsAfterDetectable += 1;
          lastRequestAfterDetectableMs = at - detectableAtMs;
          return;
        }
        if (isBad) {
          badRequests += 1;
          largestMomentaryShare = Math.max(largestMomentaryShare, share);
          largestShareBeforeDetectable = Math.max(
            largestShareBeforeDetectable,
            badRequests / requests,
          );
        }
      },
      onDetectable: (at) => {
        detectableAtMs ??= at;
      },
      detectableAt: () => detectableAtMs,
      finish: (outcome, judgedBad) => ({
        outcome,
        judgedBad,
        largestShareBeforeDetectable,
        largestMomentaryShare,
        detectableAtMs,
        lastRequestAfterDetectableMs,
        requestsAfterDetectable,
      }),
    };
  },
};
