import type { ClientAccount, ClientAccountId } from '@zinniagrade/types';

/** Limits the open streams of each account at this node. */
export interface OpenStreams {
  /** Returns false if the account has reached its limit. */
  readonly tryAcquire: (account: ClientAccount) => boolean;
  readonly release: (account: ClientAccount) => void;
}

export const OpenStreams = {
  create: (): OpenStreams => {
    const counts = new Map<ClientAccountId, number>();
    return {
      tryAcquire: ({ id, maxOpenStreams }) => {
        const count = counts.get(id) ?? 0;
        if (count >= maxOpenStreams) {
          return false;
        }
        counts.set(id, count + 1);
        return true;
      },
      release: ({ id }) => {
        const count = counts.get(id) ?? 0;
        if (count <= 1) {
          counts.delete(id);
        } else {
          counts.set(id, count - 1);
        }
      },
    };
  },
};
