/** Tokens that the generations of one client account have in flight. */
export interface AccountTokens {
  readonly account: string;
  readonly tokens: number;
}

/**
 * Tokens in flight by client account, for the shares of accounts in a service's engines.
 *
 * This is for an account that sends many times what others send: with what each node has in flight
 * alone, its requests at many nodes took what others at their nodes were due.
 */
export interface AccountUse {
  /** Adds tokens of a generation of this node, or subtracts them when it has ended. */
  readonly add: (account: string, tokens: number) => void;
  /** The accounts with most tokens in flight at this node. */
  readonly own: () => readonly AccountTokens[];
  /** Replaces what another node has in flight. */
  readonly update: (node: string, uses: readonly AccountTokens[]) => void;
  readonly forget: (node: string) => void;
  /** Of all nodes, as far as known. */
  readonly tokensOf: (account: string) => number;
}

/** Bounds the size of a row. */
const maxSharedAccounts = 16;

export const AccountUse = {
  create: (): AccountUse => {
    const ownTokens = new Map<string, number>();
    const usesByNode = new Map<string, readonly AccountTokens[]>();
    const sums = new Map<string, number>();

    const addTo = (map: Map<string, number>, account: string, tokens: number): void => {
      const sum = (map.get(account) ?? 0) + tokens;
      if (sum > 0) {
        map.set(account, sum);
      } else {
        map.delete(account);
      }
    };

    const forget = (node: string): void => {
      for (const { account, tokens } of usesByNode.get(node) ?? []) {
        addTo(sums, account, -tokens);
      }
      usesByNode.delete(node);
    };

    return {
      add: (account, tokens) => {
        addTo(ownTokens, account, tokens);
        addTo(sums, account, tokens);
      },
      own: () =>
        [...ownTokens]
          .map(([account, tokens]) => ({ account, tokens: Math.round(tokens) }))
          .sort((a, b) => b.tokens - a.tokens)
          .slice(0, maxSharedAccounts),
      update: (node, uses) => {
        forget(node);
        usesByNode.set(node, uses);
        for (const { account, tokens } of uses) {
          addTo(sums, account, tokens);
        }
      },
      forget,
      tokensOf: (account) => sums.get(account) ?? 0,
    };
  },
};

/** Accounts whose tokens differ by less than this factor count as equal between nodes. */
const nearFactor = 1.25;

/**
 * Tokens in steps, for the order between nodes. They know each other's use with a delay, and with
 * exact figures each of two nodes could take the other's request for the first.
 */
export const tokenStep = (tokens: number): number =>
  Math.floor(Math.log(1 + tokens) / Math.log(nearFactor));
