import type { Clock } from '@zinniagrade/clock';
import { AccountUse, tokenStep, type AccountTokens } from '@zinniagrade/serving';
import { z } from 'zod';
import type { NodePeers } from './node-peers.js';

export interface AccountOptions {
  readonly peers: Pick<NodePeers, 'openTopic' | 'isSharedByAll'>;
  readonly nodeCount: () => number;
  /** Whether requests wait for a service, at any node. */
  readonly isWaitedFor: (service: string) => boolean;
}

/** Tokens in flight by service and client account, shared while requests wait; topic `account-use`. */
export interface AccountSharing {
  readonly add: (service: string, account: string, tokens: number) => void;
  readonly tokensOf: (service: string, account: string) => number;
  /** For the order between nodes; the same for all accounts while a node lacks the topic. */
  readonly stepOf: (service: string, account: string) => number;
  readonly stop: () => void;
}

interface ServiceAccounts {
  readonly use: AccountUse;
  shared: readonly AccountTokens[];
  sharedAtMs: number;
}

const topic = 'account-use';
const checkIntervalMs = 1000;
/** Bounds the rows that a node receives to 50 a second, about 5 KB. */
const intervalMsPerNode = 20;
/** Changes below this share of an account's tokens change no order that matters. */
const tolerance = 0.1;

const rowFields = z
  .tuple([z.string(), z.array(z.tuple([z.string(), z.number().min(0).max(1e9)]).rest(z.unknown()))])
  .rest(z.unknown());

const haveChanged = (before: readonly AccountTokens[], now: readonly AccountTokens[]): boolean =>
  before.length !== now.length ||
  now.some(({ account, tokens }) => {
    const known = before.find((use) => use.account === account)?.tokens ?? 0;
    return Math.abs(tokens - known) > tolerance * known;
  });

export const AccountSharing = {
  create: (clock: Clock, options: AccountOptions): AccountSharing => {
    const services = new Map<string, ServiceAccounts>();

    const accountsOf = (service: string): ServiceAccounts => {
      const known = services.get(service);
      if (known !== undefined) {
        return known;
      }
      const created = { use: AccountUse.create(), shared: [], sharedAtMs: -Infinity };
      services.set(service, created);
      return created;
    };

    const toRow = (service: string, uses: readonly AccountTokens[]): readonly unknown[] => [
      service,
      uses.map(({ account, tokens }) => [account, tokens]),
    ];

    const share = options.peers.openTopic({
      name: topic,
      receive: (node, fields) => {
        const row = rowFields.safeParse(fields);
        if (!row.success) {
          return false;
        }
        const [service, uses] = row.data;
        accountsOf(service).use.update(
          node,
          uses.map(([account, tokens]) => ({ account, tokens })),
        );
        return true;
      },
      snapshot: () =>
        [...services]
          .filter(([, { shared }]) => shared.length > 0)
          .map(([service, { shared }]) => toRow(service, shared)),
      onNodeLost: (node) => {
        for (const { use } of services.values()) {
          use.forget(node);
        }
      },
    });

    const stop = clock.every(checkIntervalMs, () => {
      const nowMs = clock.monotonicMs();
      const intervalMs = intervalMsPerNode * options.nodeCount();
      for (const [service, accounts] of services) {
        const own = accounts.use.own();
        if (
          options.isWaitedFor(service) &&
          nowMs - accounts.sharedAtMs >= intervalMs &&
          haveChanged(accounts.shared, own)
        ) {
          accounts.shared = own;
          accounts.sharedAtMs = nowMs;
          share(toRow(service, own));
        }
      }
    });

    return {
      add: (service, account, tokens) => {
        accountsOf(service).use.add(account, tokens);
      },
      tokensOf: (service, account) => accountsOf(service).use.tokensOf(account),
      stepOf: (service, account) =>
        options.peers.isSharedByAll(topic)
          ? tokenStep(accountsOf(service).use.tokensOf(account))
          : 0,
      stop,
    };
  },
};
