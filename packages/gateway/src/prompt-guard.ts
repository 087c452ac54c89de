import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import { PromptQuarantine, quarantineMs, type LostStart } from '@zinniagrade/serving';
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
  /** Whether this node writes the entry of a part to the store. */
  readonly writesPart: (part: string) => boolean;
  /** Keeps a part in the store for a time, so that nodes which start later know it. */
  readonly store: (part: string, lifeMs: number) => Promise<boolean>;
  /** Removes the entry of a part that has proven sound. */
  readonly unstore: (part: string) => Promise<boolean>;
}

/** Keeps prompts that crash engines away from them, with the findings of all nodes. */
export interface PromptGuard {
  /** The reason to send this request to no engine; undefined if it may be sent. */
  readonly refusal: (request: CallerRequest) => Failure | undefined;
  /** Whether a request that was lost with its engine may run or go on at another one. */
  readonly allowsRepeat: (request: CallerRequest) => boolean;
  /** To be called when an engine was lost before it had written on the prompt for long. */
  readonly onLostStart: (request: CallerRequest, engine: string) => void;
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

/** Longest wait that callers are asked for; an operator may have replaced the engines by then. */
const maxRetryAfterMs = 60_000;

export const PromptGuard = {
  create: (clock: Clock, log: Log, options: PromptGuardOptions): PromptGuard => {
    const quarantine = PromptQuarantine.create();
    const stored = new Set<string>();
    const writing = new Set<string>();
    const now = clock.monotonicMs;

    const write = async (part: string, isWanted: boolean): Promise<void> => {
      writing.add(part);
      const done = await (isWanted ? options.store(part, quarantineMs) : options.unstore(part));
      log.event('quarantine entry written', { part, isWanted, done });
    };

    const writeOnce = (part: string, isWanted: boolean): void => {
      if (writing.has(part) || !options.writesPart(part)) {
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

    const recordLostStart = (start: LostStart): void => {
      for (const part of quarantine.recordLostStart(start)) {
        log.event('prompt part quarantined', {
          part,
          engine: start.engine,
          lostStarts: quarantine.lostStarts(now()).length,
        });
        writeOnce(part, true);
      }
    };

    const recordSound = (parts: readonly string[]): readonly string[] => {
      const cleared = quarantine.recordSound(parts, now());
      for (const part of cleared) {
        log.event('prompt part sound', { part, stored: stored.has(part) });
      }
      return cleared;
    };

    return {
      refusal: ({ promptParts }) => {
        const part = quarantine.findIn(promptParts, now());
        return part === undefined
          ? undefined
          : Failure.create(
              'prompt-quarantined',
              `engines were lost on part ${part} of the prompt`,
              maxRetryAfterMs,
            );
      },
      allowsRepeat: ({ promptParts }) => !quarantine.isSuspect(promptParts, now()),
      onLostStart: ({ promptParts }, engine) => {
        const parts = promptParts.filter((part) => !quarantine.isProven(part, now()));
        if (parts.length > 0) {
          recordLostStart({ engine, parts, atMs: now() });
          options.share({ parts, lostEngine: engine, ageMs: 0 });
        }
      },
      onSound: ({ promptParts }) => {
        const cleared = recordSound(promptParts);
        if (cleared.length > 0) {
          options.share({ parts: cleared, ageMs: 0 });
        }
      },
      receive: ({ parts, lostEngine, ageMs }) => {
        if (lostEngine === undefined) {
          recordSound(parts);
          return;
        }
        recordLostStart({ engine: lostEngine, parts, atMs: now() - ageMs });
        const sound = parts.filter((part) => quarantine.isProven(part, now()));
        if (sound.length > 0) {
          options.share({ parts: sound, ageMs: 0 });
        }
      },
      findings: () =>
        quarantine.lostStarts(now()).map(({ engine, parts, atMs }) => ({
          parts,
          lostEngine: engine,
          ageMs: now() - atMs,
        })),
      applyStored: (part, isStored) => {
        if (isStored) {
          stored.add(part);
          quarantine.add(part, now());
        } else if (stored.delete(part)) {
          quarantine.remove(part);
        }
        log.event('quarantine entry changed', { part, isStored });
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
