import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';
import type { LeaseId, MetadataStore } from './metadata-store.js';

/** Keeps this node's entry in the store under a lease, so that it goes when the node does. */
export interface Registration {
  /** Replaces the entry, for a node that begins to leave. */
  readonly update: (value: Buffer) => void;
  /** Ends the lease and with it the entry. */
  readonly end: () => Promise<void>;
}

/** Renewals within the life of a lease. */
const renewalsPerLife = 3;

export const Registration = {
  create: (
    store: MetadataStore,
    clock: Clock,
    log: Log,
    key: string,
    first: Buffer,
    leaseMs: number,
  ): Registration => {
    let value = first;
    let lease: LeaseId | undefined;
    let written = false;
    let ended = false;
    let lost = false;

    const note = (reachable: boolean, reason: string): void => {
      if (reachable === !lost) {
        return;
      }
      lost = !reachable;
      log.event(reachable ? 'registration kept again' : 'registration at risk', { reason });
    };

    const grant = async (): Promise<void> => {
      const granted = await store.grantLease(leaseMs);
      granted.caseOf({
        Left: ({ detail }) => {
          note(false, detail);
        },
        Right: (id) => {
          lease = id;
          written = false;
        },
      });
    };

    /** An earlier process of this node may have left an entry, so the write has no condition. */
    const write = async (id: LeaseId): Promise<void> => {
      const outcome = await store.commit({
        expected: new Map(),
        writes: [{ key, value, lease: id }],
        removals: [],
      });
      written = outcome.outcome === 'done';
      note(written, outcome.outcome);
      if (outcome.outcome === 'lease-ended') {
        lease = undefined;
      }
    };

    const renew = async (id: LeaseId): Promise<void> => {
      const renewed = await store.renewLease(id);
      renewed.caseOf({
        Left: ({ detail }) => {
          note(false, detail);
        },
        Right: (alive) => {
          if (!alive) {
            lease = undefined;
          }
          note(alive, 'lease');
        },
      });
    };

    const step = async (): Promise<void> => {
      if (lease !== undefined && written) {
        await renew(lease);
      }
      if (lease === undefined) {
        await grant();
      }
      if (lease !== undefined && !written) {
        await write(lease);
      }
    };

    const run = async (): Promise<void> => {
      while (!ended) {
        await step();
        await new Promise<void>((resolve) => {
          clock.after(leaseMs / renewalsPerLife, resolve);
        });
      }
    };
    run().catch((error: unknown) => {
      log.event('registration failed', { reason: String(error) });
      throw error;
    });

    return {
      update: (next) => {
        value = next;
        written = false;
        if (lease !== undefined) {
          void write(lease);
        }
      },
      end: async () => {
        ended = true;
        if (lease !== undefined) {
          await store.endLease(lease);
        }
      },
    };
  },
};
