import type { Clock } from '@zinniagrade/clock';
import type { RelayedChange } from './node-message.js';

/** Store changes that are applied after a delay, unless a later change of the same key comes first. */
export interface HeldChanges {
  /** Holds a change; one of the same key that is held already is replaced and keeps its time. */
  readonly hold: (change: RelayedChange, delayMs: number) => void;
  readonly has: (key: string) => boolean;
  /** Forgets the change of a key. */
  readonly cancel: (key: string) => void;
}

interface HeldChange {
  readonly change: RelayedChange;
  readonly dueAtMs: number;
}

export const HeldChanges = {
  create: (clock: Clock, onDue: (change: RelayedChange) => void): HeldChanges => {
    const held = new Map<string, HeldChange>();

    const applyIfDue = (key: string): void => {
      const entry = held.get(key);
      if (entry !== undefined && entry.dueAtMs <= clock.monotonicMs()) {
        held.delete(key);
        onDue(entry.change);
      }
    };

    return {
      hold: (change, delayMs) => {
        const { key } = change;
        const known = held.get(key);
        const dueAtMs = known?.dueAtMs ?? clock.monotonicMs() + delayMs;
        held.set(key, { change, dueAtMs });
        if (known === undefined) {
          clock.after(delayMs, () => {
            applyIfDue(key);
          });
        }
      },
      has: (key) => held.has(key),
      cancel: (key) => {
        held.delete(key);
      },
    };
  },
};
