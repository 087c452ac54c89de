import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import {
  lossLifeMs,
  Quarantine,
  quarantineMs,
  requestKeyOf,
  type EarlyLoss,
} from '@zinniagrade/serving';
import type { Call } from './call.js';
import type { Log } from './log.js';

/** What a node has seen of keys: parts of a prompt, or a whole request. */
export interface KeyFinding {
  readonly keys: readonly string[];
  readonly ageMs: number;
  /** Set if an upstream was lost while it began to work on them; undefined if the keys are sound. */
  readonly loss?: KeyLoss;
}

export interface KeyLoss {
  readonly upstream: string;
  /** Node that lost its connection. */
  readonly witness: string;
  /** Time from the send of the request to the loss. */
  readonly tookMs: number;
}

/** The fields of a call by which requests are recognized. */
export type GuardedCall = Pick<Call, 'request' | 'fingerprint'>;

export interface RequestGuardOptions {
  readonly node: string;
  /** Other nodes from which messages arrive. */
  readonly aliveNodes: () => ReadonlySet<string>;
  /** Sends a finding to the other nodes. */
  readonly share: (finding: KeyFinding) => void;
  /** Whether this node writes the entry of a key to the store and tries the key again. */
  readonly actsOnKey: (key: string) => boolean;
  /** Keeps a key in the store for a time, so that nodes which start later know it. */
  readonly writeEntry: (key: string, lifeMs: number) => Promise<boolean>;
  /** Removes the entry of a key that has proven sound. */
  readonly removeEntry: (key: string) => Promise<boolean>;
}

/** Keeps requests that crash upstreams away from them, with the findings of all nodes. */
export interface RequestGuard {
  /** The reason to send this request to no upstream; undefined if it may be sent. */
  readonly refusal: (call: GuardedCall) => Failure | undefined;
  /** Whether a request that was lost with its upstream may run or go on at another one. */
  readonly allowsRepeat: (call: GuardedCall) => boolean;
  /** To be called when an upstream was lost before it had worked on the request for long. */
  readonly onEarlyLoss: (call: GuardedCall, upstream: string, sentAtMs: number) => void;
  /** To be called when an upstream has worked on the request and went on. */
  readonly onSound: (call: GuardedCall) => void;
  readonly receive: (finding: KeyFinding) => void;
  /** Findings for a node that has none yet. */
  readonly findings: () => readonly KeyFinding[];
  /** Applies the entry of a key in the store. */
  readonly applyStored: (key: string, isStored: boolean) => void;
  /** Writes entries that the store lacks. To be called at regular intervals. */
  readonly sweep: () => void;
}

/** Wait that callers are asked for: by then a trial may have shown that the key is sound. */
const retryAfterMs = 60_000;
/** A trial without a result in this time is repeated. */
const trialTimeoutMs = 10_000;
/** Findings sent to a node that joins; more would not fit into one message. */
const maxFindings = 64;
/** Nodes that must have seen losses before a node that has heard others tells all to refuse. */
const minWitnesses = 2;

/** Keys of a request, from the one that most requests share to the most specific. */
const keysOf = ({ request, fingerprint }: GuardedCall): readonly string[] => [
  ...request.promptParts,
  requestKeyOf(fingerprint),
];

export const RequestGuard = {
  create: (clock: Clock, log: Log, options: RequestGuardOptions): RequestGuard => {
    const quarantine = Quarantine.create(options.node);
    /** Keys with an entry in the store. */
    const stored = new Set<string>();
    /** Keys whose entry is being written or removed. */
    const writing = new Set<string>();
    /** Times at which this node has last let a request with a quarantined key pass. */
    const triedAtMs = new Map<string, number>();
    let hasHeardNodes = false;
    const now = clock.monotonicMs;

    const write = async (key: string, isWanted: boolean): Promise<void> => {
      writing.add(key);
      const done = await (isWanted
        ? options.writeEntry(key, quarantineMs)
        : options.removeEntry(key));
      log.event('quarantine entry written', { key, isWanted, done });
    };

    const writeOnce = (key: string, isWanted: boolean): void => {
      if (writing.has(key) || !options.actsOnKey(key)) {
        return;
      }
      write(key, isWanted)
        .catch((error: unknown) => {
          log.event('quarantine entry write failed', { key, reason: String(error) });
        })
        .finally(() => {
          writing.delete(key);
        });
    };

    /** Nodes take an entry for granted, so one that was cut off from the others writes none. */
    const isCorroborated = (key: string): boolean => {
      hasHeardNodes ||= options.aliveNodes().size > 0;
      return !hasHeardNodes || quarantine.witnesses(key, now()).size >= minWitnesses;
    };

    const storeQuarantined = (key: string): void => {
      if (isCorroborated(key)) {
        writeOnce(key, true);
      }
    };

    const recordLoss = (loss: EarlyLoss): void => {
      const found = quarantine.recordLoss(loss);
      log.decision('early loss', {
        upstream: loss.upstream,
        keys: loss.keys.join(),
        witness: loss.witness,
        ageMs: Math.round(now() - loss.atMs),
        tookMs: Math.round(loss.atMs - loss.sentAtMs),
        found: found.join(),
      });
      for (const key of found) {
        log.event('quarantine began', { key, upstream: loss.upstream });
        storeQuarantined(key);
      }
    };

    const recordSound = (keys: readonly string[], atMs: number): readonly string[] => {
      const cleared = quarantine.recordSound(keys, atMs);
      for (const key of cleared) {
        triedAtMs.delete(key);
        log.event('quarantine key sound', { key, stored: stored.has(key) });
      }
      return cleared;
    };

    const shareProofs = (keys: readonly string[]): void => {
      for (const key of keys) {
        const atMs = quarantine.provenAtMs(key, now());
        if (atMs !== undefined) {
          options.share({ keys: [key], ageMs: now() - atMs });
        }
      }
    };

    /** Lets one request pass when a trial is due; the next one only if nothing came of it. */
    const takeTrial = (key: string): boolean => {
      const dueAtMs = Math.max(
        quarantine.trialDueAtMs(key, now()),
        (triedAtMs.get(key) ?? -Infinity) + trialTimeoutMs,
      );
      if (now() < dueAtMs || !options.actsOnKey(key)) {
        return false;
      }
      triedAtMs.set(key, now());
      log.event('quarantine trial', { key });
      return true;
    };

    const toFinding = ({ keys, atMs, upstream, sentAtMs, witness }: EarlyLoss): KeyFinding => ({
      keys,
      ageMs: now() - atMs,
      loss: { upstream, witness, tookMs: atMs - sentAtMs },
    });

    return {
      refusal: (call) => {
        const key = quarantine.findIn(keysOf(call), now());
        if (key === undefined || takeTrial(key)) {
          return undefined;
        }
        return call.request.promptParts.includes(key)
          ? Failure.create(
              'prompt-quarantined',
              `engines were lost on part ${key} of the prompt`,
              retryAfterMs,
            )
          : Failure.create(
              'request-quarantined',
              `upstreams were lost on requests with fingerprint ${call.fingerprint}`,
              retryAfterMs,
            );
      },
      allowsRepeat: (call) => !quarantine.isSuspect(keysOf(call), now()),
      onEarlyLoss: (call, upstream, sentAtMs) => {
        const keys = keysOf(call).filter((key) => quarantine.provenAtMs(key, now()) === undefined);
        if (keys.length > 0) {
          const loss = { upstream, keys, atMs: now(), sentAtMs, witness: options.node };
          recordLoss(loss);
          options.share(toFinding(loss));
        }
      },
      onSound: (call) => {
        shareProofs(recordSound(keysOf(call), now()));
      },
      receive: ({ keys, loss, ageMs }) => {
        const atMs = now() - Math.min(Math.max(ageMs, 0), lossLifeMs);
        if (loss === undefined) {
          recordSound(keys, atMs);
          return;
        }
        const { upstream, witness, tookMs } = loss;
        recordLoss({ upstream, keys, atMs, sentAtMs: atMs - Math.max(tookMs, 0), witness });
        shareProofs(keys);
      },
      findings: () => quarantine.losses(now()).slice(0, maxFindings).map(toFinding),
      applyStored: (key, isStored) => {
        log.event('quarantine entry changed', { key, isStored });
        if (!isStored) {
          stored.delete(key);
          quarantine.remove(key);
          return;
        }
        stored.add(key);
        quarantine.add(key, now());
        shareProofs([key]);
      },
      sweep: () => {
        hasHeardNodes ||= options.aliveNodes().size > 0;
        const wanted = new Set(quarantine.quarantined(now()));
        for (const key of wanted) {
          if (!stored.has(key)) {
            storeQuarantined(key);
          }
        }
        for (const key of stored) {
          if (!wanted.has(key)) {
            writeOnce(key, false);
          }
        }
      },
    };
  },
};
