import { LRUCache } from 'lru-cache';

/** A request whose engine was lost before it had written on its prompt for long. */
export interface EarlyLoss {
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
  /** Records a loss; returns the parts that are quarantined because of it. */
  readonly recordLoss: (loss: EarlyLoss) => readonly string[];
  /**
   * Records that an engine has written on these parts and went on, which ends a quarantine of them.
   * Returns those that were quarantined, or under suspicion and not proven yet.
   */
  readonly recordSound: (parts: readonly string[], atMs: number) => readonly string[];
  /** Quarantines a part that another node has found, unless it is proven. */
  readonly add: (part: string, nowMs: number) => void;
  readonly remove: (part: string) => void;
  /** The first of these parts that is in quarantine. */
  readonly findIn: (parts: readonly string[], nowMs: number) => string | undefined;
  /**
   * Time from which one request with a quarantined part may be tried, in case other faults took the
   * engines and no proof can come as long as all requests with it are refused.
   */
  readonly trialDueAtMs: (part: string, nowMs: number) => number;
  /** Whether one of these parts may be the reason that engines were lost. */
  readonly isSuspect: (parts: readonly string[], nowMs: number) => boolean;
  /** Time of the last proof that a part is sound; undefined if there is none in force. */
  readonly provenAtMs: (part: string, nowMs: number) => number | undefined;
  readonly quarantined: (nowMs: number) => readonly string[];
  /** Losses with their parts that have not been proven since, oldest first. */
  readonly losses: (nowMs: number) => readonly EarlyLoss[];
}

/** Engines lost with a part after which a lost stream with it is not run or continued again. */
const lostEnginesToSuspect = 2;
/** Engines lost with a part after which it is quarantined. */
const lostEnginesToQuarantine = 3;
/** Engines lost closer together have a common cause, such as a failed link or a lost data centre. */
const minLossSpacingMs = 20;
/** Losses at one engine within this time are one crash; a restarted engine may have its old id. */
const sameCrashMs = 1000;
/** Time from the last loss to a trial, by the number of losses above the first ones. */
const trialDelaysMs = [10_000, 60_000];
/** How long a loss counts. */
export const lossLifeMs = 300_000;
const maxLosses = 256;
const proofLifeMs = 60_000;
const maxProvenParts = 4096;
const maxQuarantinedParts = 256;
/** Time after which a quarantined part is tried again. */
export const quarantineMs = 600_000;

interface CrashTime {
  readonly engine: string;
  readonly atMs: number;
}

const isSameCrash = (a: CrashTime, b: CrashTime): boolean =>
  a.engine === b.engine && Math.abs(a.atMs - b.atMs) < sameCrashMs;

/** Crashes in order of time, without repeated reports and without those that have a common cause. */
const separateCrashes = (crashes: readonly CrashTime[]): readonly CrashTime[] => {
  const separate: CrashTime[] = [];
  for (const crash of [...crashes].sort((a, b) => a.atMs - b.atMs)) {
    const lastAtMs = separate.at(-1)?.atMs ?? -Infinity;
    const isKnown = separate.some((other) => isSameCrash(other, crash));
    if (!isKnown && crash.atMs - lastAtMs >= minLossSpacingMs) {
      separate.push(crash);
    }
  }
  return separate;
};

export const PromptQuarantine = {
  create: (): PromptQuarantine => {
    /** Values are the times of the last proof. */
    const proven = new LRUCache<string, number>({ max: maxProvenParts });
    /** Values are the times at which the quarantine ends. */
    const quarantine = new LRUCache<string, number>({ max: maxQuarantinedParts });
    let losses: EarlyLoss[] = [];

    const lastProofAtMs = (part: string): number => proven.get(part) ?? -Infinity;

    const isProven = (part: string, nowMs: number): boolean =>
      nowMs - lastProofAtMs(part) < proofLifeMs;

    const isQuarantined = (part: string, nowMs: number): boolean =>
      (quarantine.get(part) ?? -Infinity) > nowMs;

    /** Crashes with the part since its last proof, unless a quarantined part explains them. */
    const unexplainedCrashes = (part: string, nowMs: number): readonly CrashTime[] => {
      const crashes: CrashTime[] = [];
      const explained: CrashTime[] = [];
      for (const loss of losses) {
        if (loss.parts.includes(part) && loss.atMs > lastProofAtMs(part)) {
          crashes.push(loss);
        }
        if (loss.parts.some((other) => other !== part && isQuarantined(other, nowMs))) {
          explained.push(loss);
        }
      }
      return separateCrashes(
        crashes.filter((crash) => !explained.some((other) => isSameCrash(other, crash))),
      );
    };

    const add = (part: string, nowMs: number): void => {
      if (!isProven(part, nowMs)) {
        quarantine.set(part, nowMs + quarantineMs);
      }
    };

    const dropOldLosses = (nowMs: number): void => {
      losses = losses.filter(({ atMs }) => nowMs - atMs < lossLifeMs).slice(-maxLosses);
    };

    return {
      recordLoss: (loss) => {
        const { parts, atMs } = loss;
        const isKnown = losses.some(
          (other) => isSameCrash(other, loss) && other.parts.join() === parts.join(),
        );
        if (isKnown) {
          return [];
        }
        losses.push(loss);
        dropOldLosses(atMs);
        const found: string[] = [];
        // From the most specific part to the one that most requests share: if both were lost at the
        // same engines, the first explains the losses of the second.
        for (const part of [...parts].reverse()) {
          if (
            !isProven(part, atMs) &&
            !isQuarantined(part, atMs) &&
            unexplainedCrashes(part, atMs).length >= lostEnginesToQuarantine
          ) {
            add(part, atMs);
            found.push(part);
          }
        }
        return found;
      },
      recordSound: (parts, atMs) => {
        const cleared: string[] = [];
        for (const part of parts) {
          const isSuspected =
            !isProven(part, atMs) &&
            unexplainedCrashes(part, atMs).some((crash) => crash.atMs < atMs);
          proven.set(part, Math.max(lastProofAtMs(part), atMs));
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
      trialDueAtMs: (part, nowMs) => {
        const crashes = unexplainedCrashes(part, nowMs);
        const last = crashes.at(-1);
        const delayMs = trialDelaysMs[crashes.length - lostEnginesToQuarantine];
        return last === undefined || delayMs === undefined ? Infinity : last.atMs + delayMs;
      },
      isSuspect: (parts, nowMs) =>
        parts.some(
          (part) =>
            isQuarantined(part, nowMs) ||
            (!isProven(part, nowMs) &&
              unexplainedCrashes(part, nowMs).length >= lostEnginesToSuspect),
        ),
      provenAtMs: (part, nowMs) => (isProven(part, nowMs) ? lastProofAtMs(part) : undefined),
      quarantined: (nowMs) => [...quarantine.keys()].filter((part) => isQuarantined(part, nowMs)),
      losses: (nowMs) => {
        dropOldLosses(nowMs);
        const unproven: EarlyLoss[] = [];
        for (const { engine, parts, atMs } of losses) {
          const left = parts.filter((part) => atMs > lastProofAtMs(part));
          if (left.length > 0) {
            unproven.push({ engine, parts: left, atMs });
          }
        }
        return unproven;
      },
    };
  },
};
