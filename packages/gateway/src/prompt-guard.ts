import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import { lossLifeMs, PromptQuarantine, quarantineMs, type EarlyLoss } from '@zinniagrade/serving';
import type { CallerRequest } from './caller-request.js';
import type { Log } from './log.js';

/** What a node has seen of parts of a prompt. */
export interface PromptFinding {
  readonly parts: readonly string[];
  /** Engine that was lost while it began to write on them; undefined if the parts are sound. */
  readonly lostEngine?: string;
  readonly ageMs: number;
}

export interface PromptGuardOptions {
  /** Sends a finding to the other nodes. */
  readonly share: (finding: PromptFinding) => void;
  /** Whether this node writes the entry of a part to the store and tries the part again. */
  readonly actsOnPart: (part: string) => boolean;
  /** Keeps a part in the store for a time, so that nodes which start later know it. */
  readonly writeEntry: (part: string, lifeMs: number) => Promise<boolean>;
  /** Removes the entry of a part that has proven sound. */
  readonly removeEntry: (part: string) => Promise<boolean>;
}

/** Keeps prompts that crash engines away from them, with the findings of all nodes. */
export interface PromptGuard {
  /** The reason to send this request to no engine; undefined if it may be sent. */
  readonly refusal: (request: CallerRequest) => Failure | undefined;
  /** Whether a request that was lost with its engine may run or go on at another one. */
  readonly allowsRepeat: (request: CallerRequest) => boolean;
  /** To be called when an engine was lost before it had written on the prompt for long. */
  readonly onEarlyLoss: (request: CallerRequest, engine: string) => void;
  /** To be called when an engine has written on the prompt and went on. */
  readonly onSound: (request: CallerRequest) => void;
  readonly receive: (finding: PromptFinding) => void;
  /** Findings for a node that has none yet. */
  readonly findings: () => readonly PromptFinding[];
  /** Applies the entry of a part in the store. */
  readonly applyStored: (part: string, isStored: boolean) => void;
  /** Writes entries that the store lacks. To be called at regular intervals. */
  readonly sweep: () => void;
}

/** Wait that callers are asked for: by then a trial may have shown that the part is sound. */
const retryAfterMs = 60_000;
/** A trial without a result in this time is repeated. */
const trialTimeoutMs = 10_000;
/** Findings sent to a node that joins; more would not fit into one message. */
const maxFindings = 64;

export const PromptGuard = {
  create: (clock: Clock, log: Log, options: PromptGuardOptions): PromptGuard => {
    const quarantine = PromptQuarantine.create();
    /** Parts with an entry in the store. */
    const stored = new Set<string>();
    /** Parts whose entry is being written or removed. */
    const writing = new Set<string>();
    /** Times at which this node has last let a request with a quarantined part pass. */
    const triedAtMs = new Map<string, number>();
    const now = clock.monotonicMs;

    const write = async (part: string, isWanted: boolean): Promise<void> => {
      writing.add(part);
      const done = await (isWanted
        ? options.writeEntry(part, quarantineMs)
        : options.removeEntry(part));
      log.event('quarantine entry written', { part, isWanted, done });
    };

    const writeOnce = (part: string, isWanted: boolean): void => {
      if (writing.has(part) || !options.actsOnPart(part)) {
        return;
      }
      write(part, isWanted)
        .catch((error: unknown) => {
          log.event('quarantine entry write failed', { part, reason: String(error) });
        })
        .finally(() => {
          writing.delete(part);
        });
    };

    const recordLoss = (loss: EarlyLoss): void => {
      const found = quarantine.recordLoss(loss);
      log.decision('early loss', {
        engine: loss.engine,
        parts: loss.parts.join(),
        ageMs: Math.round(now() - loss.atMs),
        found: found.join(),
      });
      for (const part of found) {
        log.event('prompt part quarantined', { part, engine: loss.engine });
        writeOnce(part, true);
      }
    };

    const recordSound = (parts: readonly string[], atMs: number): readonly string[] => {
      const cleared = quarantine.recordSound(parts, atMs);
      for (const part of cleared) {
        triedAtMs.delete(part);
        log.event('prompt part sound', { part, stored: stored.has(part) });
      }
      return cleared;
    };

    const shareProofs = (parts: readonly string[]): void => {
      for (const part of parts) {
        const atMs = quarantine.provenAtMs(part, now());
        if (atMs !== undefined) {
          options.share({ parts: [part], ageMs: now() - atMs });
        }
      }
    };

    /** Lets one request pass when a trial is due; the next one only if nothing came of it. */
    const takeTrial = (part: string): boolean => {
      const dueAtMs = Math.max(
        quarantine.trialDueAtMs(part, now()),
        (triedAtMs.get(part) ?? -Infinity) + trialTimeoutMs,
      );
      if (now() < dueAtMs || !options.actsOnPart(part)) {
        return false;
      }
      triedAtMs.set(part, now());
      log.event('prompt part tried', { part });
      return true;
    };

    return {
      refusal: ({ promptParts }) => {
        const part = quarantine.findIn(promptParts, now());
        return part === undefined || takeTrial(part)
          ? undefined
          : Failure.create(
              'prompt-quarantined',
              `engines were lost on part ${part} of the prompt`,
              retryAfterMs,
            );
      },
      allowsRepeat: ({ promptParts }) => !quarantine.isSuspect(promptParts, now()),
      onEarlyLoss: ({ promptParts }, engine) => {
        const parts = promptParts.filter(
          (part) => quarantine.provenAtMs(part, now()) === undefined,
        );
        if (parts.length > 0) {
          recordLoss({ engine, parts, atMs: now() });
          options.share({ parts, lostEngine: engine, ageMs: 0 });
        }
      },
      onSound: ({ promptParts }) => {
        shareProofs(recordSound(promptParts, now()));
      },
      receive: ({ parts, lostEngine, ageMs }) => {
        const atMs = now() - Math.min(Math.max(ageMs, 0), lossLifeMs);
        if (lostEngine === undefined) {
          recordSound(parts, atMs);
          return;
        }
        recordLoss({ engine: lostEngine, parts, atMs });
        shareProofs(parts);
      },
      findings: () =>
        quarantine
          .losses(now())
          .slice(-maxFindings)
          .map(({ engine, parts, atMs }) => ({
            parts,
            lostEngine: engine,
            ageMs: now() - atMs,
          })),
      applyStored: (part, isStored) => {
        log.event('quarantine entry changed', { part, isStored });
        if (!isStored) {
          stored.delete(part);
          quarantine.remove(part);
          return;
        }
        stored.add(part);
        quarantine.add(part, now());
        shareProofs([part]);
      },
      sweep: () => {
        const wanted = new Set(quarantine.quarantined(now()));
        for (const part of wanted) {
          if (!stored.has(part)) {
            writeOnce(part, true);
          }
        }
        for (const part of stored) {
          if (!wanted.has(part)) {
            writeOnce(part, false);
          }
        }
      },
    };
  },
};
