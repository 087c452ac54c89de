import { LRUCache } from 'lru-cache';

/** A request whose engine was lost before it had written for long. */
export interface LostStart {
  readonly engine: string;
  /** Shared parts of the request's prompt, in order. */
  readonly parts: readonly string[];
  readonly atMs: number;
}

/**
 * Finds parts of prompts that crash each engine which begins to write on them, and keeps them away
 * from engines. This is for requests that look sound and come at any node: without it, each of them
 * takes an engine with all its streams. A part that engines have written on for a while is proven
 * sound; a part without proof is quarantined after starts with it were lost at several engines.
 */
export interface PromptQuarantine {
  /** Records a lost start; returns the parts that are quarantined because of it. */
  readonly recordLostStart: (start: LostStart) => readonly string[];
  /**
   * Records that an engine has written on these parts and went on, which ends a quarantine of them.
   * Returns those that were quarantined, or under suspicion and not proven yet.
   */
  readonly recordSound: (parts: readonly string[], nowMs: number) => readonly string[];
  /** Quarantines a part that another node has found. */
  readonly add: (part: string, nowMs: number) => void;
  readonly remove: (part: string) => void;
  /** The first of these parts that is in quarantine. */
  readonly findIn: (parts: readonly string[], nowMs: number) => string | undefined;
  /** Whether one of these parts may be the reason that engines were lost. */
  readonly isSuspect: (parts: readonly string[], nowMs: number) => boolean;
  readonly isProven: (part: string, nowMs: number) => boolean;
  readonly quarantined: (nowMs: number) => readonly string[];
  /** Lost starts with parts that are not proven, oldest first. */
  readonly lostStarts: (nowMs: number) => readonly LostStart[];
}

/** Engines lost with a part after which a lost stream with it is not run or continued again. */
const lostEnginesToSuspect = 2;
/** Engines lost with a part after which it is quarantined. */
const lostEnginesToQuarantine = 3;
/** Engines lost closer together have a common cause, such as a failed link or a lost data centre. */
const minLossSpacingMs = 20;
const lostStartLifeMs = 300_000;
const maxLostStarts = 256;
const proofLifeMs = 60_000;
const maxProvenParts = 4096;
const maxQuarantinedParts = 256;
/** Time after which a quarantined part is tried again. */
export const quarantineMs = 600_000;

const countSeparate = (timesMs: readonly number[]): number => {
  let count = 0;
  let lastMs = -Infinity;
  for (const timeMs of [...timesMs].sort((a, b) => a - b)) {
    if (timeMs - lastMs >= minLossSpacingMs) {
      count += 1;
      lastMs = timeMs;
    }
  }
  return count;
};

export const PromptQuarantine = {
  create: (): PromptQuarantine => {
    /** Values are the times of the last proof. */
    const proven = new LRUCache<string, number>({ max: maxProvenParts });
    /** Values are the times at which the quarantine ends. */
    const quarantine = new LRUCache<string, number>({ max: maxQuarantinedParts });
    let starts: LostStart[] = [];

    const isProven = (part: string, nowMs: number): boolean =>
      nowMs - (proven.get(part) ?? -Infinity) < proofLifeMs;

    const isQuarantined = (part: string, nowMs: number): boolean =>
      (quarantine.get(part) ?? -Infinity) > nowMs;

    /** Engines lost with the part since its last proof, unless a quarantined part explains them. */
    const unexplainedLosses = (part: string, nowMs: number): number => {
      const provenAtMs = proven.get(part) ?? -Infinity;
      const lossesByEngine = new Map<string, number>();
      const explained = new Set<string>();
      for (const { engine, parts, atMs } of starts) {
        if (parts.includes(part) && atMs > provenAtMs) {
          lossesByEngine.set(engine, atMs);
        }
        if (parts.some((other) => other !== part && isQuarantined(other, nowMs))) {
          explained.add(engine);
        }
      }
      for (const engine of explained) {
        lossesByEngine.delete(engine);
      }
      return countSeparate([...lossesByEngine.values()]);
    };

    const add = (part: string, nowMs: number): void => {
      quarantine.set(part, nowMs + quarantineMs);
    };

    const keepStarts = (nowMs: number): void => {
      starts = starts.filter(({ atMs }) => nowMs - atMs < lostStartLifeMs).slice(-maxLostStarts);
    };

    return {
      recordLostStart: (start) => {
        const nowMs = start.atMs;
        const isKnown = starts.some(
          ({ engine, parts }) => engine === start.engine && parts.join() === start.parts.join(),
        );
        if (isKnown) {
          return [];
        }
        starts.push(start);
        keepStarts(nowMs);
        const found: string[] = [];
        // From the most specific part to the one that most requests share: if both were lost at the
        // same engines, the first explains the losses of the second.
        for (const part of [...start.parts].reverse()) {
          if (
            !isProven(part, nowMs) &&
            !isQuarantined(part, nowMs) &&
            unexplainedLosses(part, nowMs) >= lostEnginesToQuarantine
          ) {
            add(part, nowMs);
            found.push(part);
          }
        }
        return found;
      },
      recordSound: (parts, nowMs) => {
        const cleared: string[] = [];
        for (const part of parts) {
          const isSuspected = !isProven(part, nowMs) && unexplainedLosses(part, nowMs) > 0;
          proven.set(part, nowMs);
          if (quarantine.delete(part) || isSuspected) {
            cleared.push(part);
          }
        }
        return cleared;
      },
      add,
      remove: (part) => {
        quarantine.delete(part);
      },
      findIn: (parts, nowMs) => parts.find((part) => isQuarantined(part, nowMs)),
      isSuspect: (parts, nowMs) =>
        parts.some(
          (part) =>
            isQuarantined(part, nowMs) ||
            (!isProven(part, nowMs) && unexplainedLosses(part, nowMs) >= lostEnginesToSuspect),
        ),
      isProven,
      quarantined: (nowMs) => [...quarantine.keys()].filter((part) => isQuarantined(part, nowMs)),
      lostStarts: (nowMs) => {
        keepStarts(nowMs);
        return starts.filter(({ parts }) => parts.some((part) => !isProven(part, nowMs)));
      },
    };
  },
};
