import { LRUCache } from 'lru-cache';
import { CrashList, lossLifeMs, type Crash } from './crash-list.js';

/** A request whose upstream was lost before it had worked on it for long. */
export interface EarlyLoss {
  readonly upstream: string;
  /** What other requests may share with it, from the least to the most specific. */
  readonly keys: readonly string[];
  readonly atMs: number;
  /** When the request was sent. */
  readonly sentAtMs: number;
  /** Node that lost its connection. */
  readonly witness: string;
}

/**
 * Finds what requests that crash each upstream have in common, and keeps such requests away from
 * upstreams. A key is a part of a prompt or the whole request. This is for requests that look sound
 * and come at any node: without it, each of them takes an upstream with all that it runs. A key on
 * which upstreams have worked for a while is proven sound; a key without proof is quarantined after
 * starts with it were lost at several upstreams.
 */
export interface Quarantine {
  /** Records a loss; returns the keys that are quarantined because of it. */
  readonly recordLoss: (loss: EarlyLoss) => readonly string[];
  /**
   * Records that an upstream has worked on a request with these keys and went on, which ends a
   * quarantine of them. Returns those that were quarantined, or under suspicion and not proven yet.
   */
  readonly recordSound: (keys: readonly string[], atMs: number) => readonly string[];
  /** Quarantines a key that another node has found, unless it is proven. */
  readonly add: (key: string, nowMs: number) => void;
  readonly remove: (key: string) => void;
  /** The first of these keys that is in quarantine. */
  readonly findIn: (keys: readonly string[], nowMs: number) => string | undefined;
  /**
   * Time from which one request with a quarantined key may be tried, in case other faults took the
   * upstreams and no proof can come as long as all requests with it are refused.
   */
  readonly trialDueAtMs: (key: string, nowMs: number) => number;
  /** Whether one of these keys may be the reason that upstreams were lost. */
  readonly isSuspect: (keys: readonly string[], nowMs: number) => boolean;
  /** Time of the last proof that a key is sound; undefined if there is none in force. */
  readonly provenAtMs: (key: string, nowMs: number) => number | undefined;
  readonly quarantined: (nowMs: number) => readonly string[];
  /** Nodes that have lost requests with this key since its last proof. */
  readonly witnesses: (key: string, nowMs: number) => ReadonlySet<string>;
  /** Losses with their keys that have not been proven since; those of the most crashes come first. */
  readonly losses: (nowMs: number) => readonly EarlyLoss[];
}

/** Upstreams lost with a key after which a lost request with it is not continued or run again. */
const lostUpstreamsToSuspect = 2;
/** Upstreams lost with a key after which it is quarantined. */
const lostUpstreamsToQuarantine = 3;
/** Time from the last loss to a trial, by the number of losses above the first ones. */
const trialDelaysMs = [10_000, 60_000];
const proofLifeMs = 60_000;
/** Most are of single requests, so there are as many as requests within `proofLifeMs`. */
const maxProvenKeys = 16_384;
const maxKeysWithCrashes = 2048;
const maxQuarantinedKeys = 256;
/** Losses kept to be told to nodes that join. */
const maxLosses = 256;
/** Time after which a quarantined key is tried again. */
export const quarantineMs = 600_000;

const requestKeyPrefix = 'request:';

/** Key of all requests with this fingerprint. No part of a prompt has such a key. */
export const requestKeyOf = (fingerprint: string): string => `${requestKeyPrefix}${fingerprint}`;

const isRequestKey = (key: string): boolean => key.startsWith(requestKeyPrefix);

export const Quarantine = {
  create: (node: string): Quarantine => {
    /** Values are the times of the last proof. */
    const proven = new LRUCache<string, number>({ max: maxProvenKeys });
    /** Values are the times at which the quarantine ends. */
    const quarantine = new LRUCache<string, number>({ max: maxQuarantinedKeys });
    const crashLists = new LRUCache<string, CrashList>({ max: maxKeysWithCrashes });
    let losses: readonly EarlyLoss[] = [];

    const lastProofAtMs = (key: string): number => proven.get(key) ?? -Infinity;

    const isProven = (key: string, nowMs: number): boolean =>
      nowMs - lastProofAtMs(key) < proofLifeMs;

    const isQuarantined = (key: string, nowMs: number): boolean =>
      (quarantine.get(key) ?? -Infinity) > nowMs;

    /** Crashes with the key since its last proof. */
    const crashesOf = (key: string, nowMs: number): readonly Crash[] =>
      crashLists.get(key)?.since(Math.max(lastProofAtMs(key), nowMs - lossLifeMs)) ?? [];

    const isExplained = (crash: Crash, key: string, nowMs: number): boolean => {
      for (const other of quarantine.keys()) {
        const includes = crashLists.get(other)?.includes(crash) ?? false;
        if (other !== key && !isRequestKey(other) && includes && isQuarantined(other, nowMs)) {
          return true;
        }
      }
      return false;
    };

    /**
     * Crashes with the key, unless another quarantined part of the prompt explains them. A request
     * doesn't, as its part would then crash more upstreams with other requests.
     */
    const unexplainedCrashes = (key: string, nowMs: number): readonly Crash[] =>
      crashesOf(key, nowMs).filter((crash) => isRequestKey(key) || !isExplained(crash, key, nowMs));

    const witnessesOf = (crashes: readonly Crash[]): ReadonlySet<string> =>
      new Set(crashes.flatMap(({ witnesses }) => [...witnesses]));

    /**
     * Whether so many upstreams crashed with the key at different moments. One other node alone is
     * not believed, as its connections may fail for reasons of its own.
     */
    const hasCrashed = (key: string, count: number, nowMs: number): boolean => {
      const crashes = unexplainedCrashes(key, nowMs);
      if (crashes.length < count) {
        return false;
      }
      const witnesses = witnessesOf(crashes);
      // A part of prompts is in flight at many engines, each of which may crash on it by itself.
      const separate = CrashList.separate(crashes, { countsOverlapping: !isRequestKey(key) });
      return separate.length >= count && (witnesses.has(node) || witnesses.size > 1);
    };

    const add = (key: string, nowMs: number): void => {
      if (!isProven(key, nowMs)) {
        quarantine.set(key, nowMs + quarantineMs);
      }
    };

    const listOf = (key: string): CrashList => {
      const known = crashLists.get(key);
      if (known !== undefined) {
        return known;
      }
      const list = CrashList.create();
      crashLists.set(key, list);
      return list;
    };

    const mostCrashes = ({ keys }: EarlyLoss, nowMs: number): number =>
      Math.max(0, ...keys.map((key) => crashesOf(key, nowMs).length));

    /** Orders losses by the crashes of their keys, as most losses are of requests that are sound. */
    const byCrashes = (unsorted: readonly EarlyLoss[], nowMs: number): readonly EarlyLoss[] =>
      unsorted
        .map((loss) => ({ loss, crashes: mostCrashes(loss, nowMs) }))
        .sort((a, b) => b.crashes - a.crashes || b.loss.atMs - a.loss.atMs)
        .map(({ loss }) => loss);

    const keep = (loss: EarlyLoss): void => {
      losses = [...losses.filter(({ atMs }) => loss.atMs - atMs < lossLifeMs), loss];
      if (losses.length > maxLosses) {
        losses = byCrashes(losses, loss.atMs).slice(0, maxLosses / 2);
      }
    };

    return {
      recordLoss: (loss) => {
        const { keys, atMs } = loss;
        keep(loss);
        for (const key of keys) {
          listOf(key).add(loss);
        }
        const found: string[] = [];
        // From the most specific key to the one that most requests share: if both were lost at the
        // same upstreams, the first explains the losses of the second.
        for (const key of [...keys].reverse()) {
          if (
            !isProven(key, atMs) &&
            !isQuarantined(key, atMs) &&
            hasCrashed(key, lostUpstreamsToQuarantine, atMs)
          ) {
            add(key, atMs);
            found.push(key);
          }
        }
        return found;
      },
      recordSound: (keys, atMs) => {
        const cleared: string[] = [];
        for (const key of keys) {
          const isSuspected =
            !isProven(key, atMs) &&
            unexplainedCrashes(key, atMs).some((crash) => crash.atMs < atMs);
          proven.set(key, Math.max(lastProofAtMs(key), atMs));
          if (quarantine.delete(key) || isSuspected) {
            cleared.push(key);
          }
        }
        return cleared;
      },
      add,
      remove: (key) => {
        quarantine.delete(key);
      },
      findIn: (keys, nowMs) => keys.find((key) => isQuarantined(key, nowMs)),
      trialDueAtMs: (key, nowMs) => {
        const crashes = CrashList.separate(unexplainedCrashes(key, nowMs), {
          countsOverlapping: true,
        });
        const last = crashes.at(-1);
        const delayMs = trialDelaysMs[crashes.length - lostUpstreamsToQuarantine];
        return last === undefined || delayMs === undefined ? Infinity : last.atMs + delayMs;
      },
      isSuspect: (keys, nowMs) =>
        keys.some(
          (key) =>
            isQuarantined(key, nowMs) ||
            (!isProven(key, nowMs) && hasCrashed(key, lostUpstreamsToSuspect, nowMs)),
        ),
      provenAtMs: (key, nowMs) => (isProven(key, nowMs) ? lastProofAtMs(key) : undefined),
      quarantined: (nowMs) => [...quarantine.keys()].filter((key) => isQuarantined(key, nowMs)),
      witnesses: (key, nowMs) => witnessesOf(crashesOf(key, nowMs)),
      losses: (nowMs) => {
        const unproven: EarlyLoss[] = [];
        for (const loss of byCrashes(losses, nowMs)) {
          const keys = loss.keys.filter((key) => loss.atMs > lastProofAtMs(key));
          if (keys.length > 0 && nowMs - loss.atMs < lossLifeMs) {
            unproven.push({ ...loss, keys });
          }
        }
        return unproven;
      },
    };
  },
};
