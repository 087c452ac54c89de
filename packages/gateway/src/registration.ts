import type { Clock } from '@zinniagrade/clock';
import type { Log } from './log.js';
import type { LeaseId, MetadataStore } from './metadata-store.js';

/** Keeps this node's store entry under a lease, so that it is removed when the node dies. */
export interface Registration {
  /** Replaces the entry, for example when the node starts to shut down. */
  readonly update: (value: Buffer) => void;
  /** Revokes the lease, which removes the entry. */
  readonly end: () => Promise<void>;
}

/** Renewals within the TTL of a lease. */
const renewalsPerLease = 3;

export const Registration = {
  create: (
    store: MetadataStore,
    clock: Clock,
    log: Log,
    key: string,
    initialValue: Buffer,
    leaseMs: number,
  ): Registration => {
    let value = initialValue;
    let lease: LeaseId | undefined;
    let written = false;
    let ended = false;
    let atRisk = false;

    const logTransition = (reachable: boolean, reason: string): void => {
      if (reachable === !atRisk) {
        return;
      }
      atRisk = !reachable;
      log.event(reachable ? 'registration recovered' : 'registration failing', { reason });
    };

    const grant = async (): Promise<void> => {
      const granted = await store.grantLease(leaseMs);
      granted.caseOf({
        Left: ({ detail }) => {
          logTransition(false, detail);
        },
        Right: (id) => {
          lease = id;
          written = false;
        },
      });
    };

    /**
     * Writes without an expected revision, as an earlier process of this node may have left an
     * entry.
     */
    const write = async (id: LeaseId): Promise<void> => {
      const outcome = await store.commit({
        expected: new Map(),
        writes: [{ key, value, lease: id }],
        removals: [],
      });
      written = outcome.outcome === 'done';
      logTransition(written, outcome.outcome);
      if (outcome.outcome === 'lease-ended') {
        lease = undefined;
      }
    };

    const renew = async (id: LeaseId): Promise<void> => {
      const renewed = await store.renewLease(id);
      renewed.caseOf({
        Left: ({ detail }) => {
          logTransition(false, detail);
        },
        Right: (alive) => {
          if (!alive) {
            lease = undefined;
          }
          logTransition(alive, 'lease');
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
        try {
          await step();
        } catch (error) {
          logTransition(false, String(error));
        }
        await new Promise<void>((resolve) => {
          clock.after(leaseMs / renewalsPerLease, resolve);
        });
      }
    };
    void run();

    return {
      update: (newValue) => {
        value = newValue;
        written = false;
        if (lease !== undefined) {
          void write(lease);
        }
      },
      end: async () => {
        ended = true;
        if (lease !== undefined) {
          await store.revokeLease(lease);
        }
      },
    };
  },
};
