import type { Clock } from '@zinniagrade/clock';
import type { RelayedChange } from './node-message.js';

/** Store changes that are applied after a delay, unless a later change of the same key comes first. */
export interface HeldChanges {
  /**
   * Holds a change while `isNeeded`, which `recheck` asks; one of the same key that is held already
   * is replaced and keeps its time.
   */
  readonly hold: (change: RelayedChange, delayMs: number, isNeeded?: () => boolean) => void;
  /** Applies the changes that need not be held any more. */
  readonly recheck: () => void;
  readonly has: (key: string) => boolean;
  /** Forgets the change of a key. */
  readonly cancel: (key: string) => void;
}

interface HeldChange {
  readonly change: RelayedChange;
  readonly dueAtMs: number;
  readonly isNeeded: () => boolean;
}

export const HeldChanges = {
  create: (clock: Clock, onDue: (change: RelayedChange) => void): HeldChanges => {
    const held = new Map<string, HeldChange>();

    const applyIf = (key: string, isDue: (entry: HeldChange) => boolean): void => {
      const entry = held.get(key);
      if (entry !== undefined && isDue(entry)) {
        held.delete(key);
        onDue(entry.change);
      }
    };

    return {
      hold: (change, delayMs, isNeeded = () => true) => {
        const { key } = change;
        const known = held.get(key);
        const dueAtMs = known?.dueAtMs ?? clock.monotonicMs() + delayMs;
        held.set(key, { change, dueAtMs, isNeeded });
        if (known === undefined) {
          clock.after(delayMs, () => {
            applyIf(key, (entry) => entry.dueAtMs <= clock.monotonicMs());
          });
        }
      },
      recheck: () => {
        for (const key of [...held.keys()]) {
          applyIf(key, (entry) => !entry.isNeeded());
        }
      },
      has: (key) => held.has(key),
      cancel: (key) => {
        held.delete(key);
      },
    };
  },
};
