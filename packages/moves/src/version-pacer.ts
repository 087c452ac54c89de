import type { Random } from '@zinniagrade/clock';

/**
 * Number of requests by which the new version may be behind its share before it gets the next one.
 */
const maxCredit = 2;

/** Number of requests by which the new version of a service is behind its granted share. */
export interface VersionPacer {
  readonly credit: number;
}

export interface PacedChoice {
  readonly pacer: VersionPacer;
  readonly useNew: boolean;
}

export const VersionPacer = {
  create: (): VersionPacer => ({ credit: 0 }),

  /**
   * Chooses the version of the next request. At any time, the requests sent to the new version do
   * not exceed its share of all requests so far, which an independent random choice could not
   * ensure. Which of successive requests go there is random, so that a periodic order of requests
   * does not send only one route to the new version.
   */
  choose: (pacer: VersionPacer, share: number, random: Random): PacedChoice => {
    if (share <= 0) {
      return { pacer: { credit: 0 }, useNew: false };
    }
    if (share >= 1) {
      return { pacer, useNew: true };
    }
    const credit = Math.min(maxCredit, pacer.credit + share);
    const useNew = credit >= maxCredit || (credit >= 1 && random() < 0.5);
    return { pacer: { credit: useNew ? credit - 1 : credit }, useNew };
  },
};
