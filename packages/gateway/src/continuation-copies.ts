import type { FleetMember } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import type { PlannedStop } from './planned-stop.js';
import type { HeldCopy } from './standby.js';
import type { RunCopy } from './upstream-client.js';

/** Copies from which a stopped run can go on, the best one first. */
export interface ContinuationCopies {
  /**
   * Resolves with a copy that was not tried, once its engine takes requests; undefined if there is
   * none left.
   */
  readonly next: () => Promise<HeldCopy | undefined>;
  /** Frees the copies made for the move, except for the one that is in use. */
  readonly release: (inUse?: RunCopy) => void;
}

/** A run that was stopped in order to go on at another engine. */
export interface MovedRun {
  readonly source: FleetMember;
  /** The engine and the copy that it had before the run was stopped. */
  readonly target: HeldCopy;
  readonly stop: Extract<PlannedStop, { readonly kind: 'stopped' }>;
  /** Backup that the source's run had at any engine. */
  readonly backup: HeldCopy | undefined;
  /** Copy that was made for the move before the run was stopped. */
  readonly prepared: RunCopy | undefined;
}

const isSame = (one: HeldCopy, other: HeldCopy): boolean =>
  one.holder === other.holder && one.copy.reference === other.copy.reference;

export const ContinuationCopies = {
  create: (context: ServingContext, call: Call, moved: MovedRun): ContinuationCopies => {
    const { client, clock, cluster } = context;
    const { source, target, stop, backup, prepared } = moved;
    const tried: HeldCopy[] = [];
    const mayContinueAt = ({ holder }: HeldCopy): boolean =>
      !cluster.withdrawn.has(holder.upstream.dataCentre);
    let released = false;

    /**
     * The source keeps the memory of the run, so it comes right after the engine that the run was to
     * move to. Copies that the reply names are complete, while a backup may lack its last part.
     */
    const candidates = async (): Promise<readonly HeldCopy[]> => {
      const isFirst = tried.length === 0;
      if (isFirst && stop.memory === undefined && mayContinueAt(target)) {
        return [target];
      }
      const memory = stop.memory ?? (await stop.reply);
      if (memory === undefined) {
        return [target, ...(backup === undefined ? [] : [backup])];
      }
      const { copy, isAtTarget } = memory;
      return [
        ...(isAtTarget ? [{ holder: target.holder, copy }] : []),
        { holder: source, copy },
        target,
        ...(backup === undefined ? [] : [backup]),
      ];
    };

    const pause = (durationMs: number): Promise<void> =>
      new Promise((resolve) => {
        clock.after(durationMs, resolve);
      });

    return {
      next: async () => {
        const left = (await candidates()).filter(
          (candidate) =>
            !tried.some((earlier) => isSame(earlier, candidate)) && mayContinueAt(candidate),
        );
        const nowMs = clock.monotonicMs();
        const waitMs = ({ holder }: HeldCopy): number => Math.max(0, holder.waitUntilMs - nowMs);
        const [next] = [...left].sort((a, b) => waitMs(a) - waitMs(b));
        if (next !== undefined) {
          tried.push(next);
          if (waitMs(next) > 0) {
            await pause(waitMs(next));
          }
        }
        return call.isEnded() ? undefined : next;
      },
      release: (inUse) => {
        if (released) {
          return;
        }
        released = true;
        const free = (copy: RunCopy | undefined): void => {
          if (copy !== undefined && copy.reference !== inUse?.reference) {
            client.dropCopy(source.upstream, copy);
          }
        };
        void stop.reply.then((memory) => {
          free(memory?.copy);
          if (prepared?.reference !== memory?.copy.reference) {
            free(prepared);
          }
        });
      },
    };
  },
};
