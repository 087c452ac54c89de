import type { FleetMember } from './fleet.js';

/** What one node has sent to one upstream and what isn't over yet. */
export interface UpstreamUse {
  readonly upstream: string;
  readonly requests: number;
  /** Prompt tokens of requests without a first event yet. */
  readonly promptTokens: number;
  /** Expected memory of all its requests at their end, with copies of requests that run elsewhere. */
  readonly memoryTokens: number;
  /** The part of it that is copies. */
  readonly copyTokens: number;
}

/** What the other nodes have at the upstreams, as they last said. */
export interface PeerUse {
  /** Replaces what a node has. */
  readonly update: (node: string, uses: readonly UpstreamUse[]) => void;
  /** A node that isn't heard of any more has lost its connections to upstreams too. */
  readonly forget: (node: string) => void;
  /** The sum over all other nodes. */
  readonly at: (upstream: string) => UpstreamUse;
}

const unused = (upstream: string): UpstreamUse => ({
  upstream,
  requests: 0,
  promptTokens: 0,
  memoryTokens: 0,
  copyTokens: 0,
});

/** Sums are kept up to date with each announcement: they are read for every engine at each choice. */
export const PeerUse = {
  create: (): PeerUse => {
    const usesOf = new Map<string, readonly UpstreamUse[]>();
    const sums = new Map<string, UpstreamUse>();

    const add = (use: UpstreamUse, sign: 1 | -1): void => {
      const { upstream } = use;
      const before = sums.get(upstream) ?? unused(upstream);
      const sum: UpstreamUse = {
        upstream,
        requests: before.requests + sign * use.requests,
        promptTokens: before.promptTokens + sign * use.promptTokens,
        memoryTokens: before.memoryTokens + sign * use.memoryTokens,
        copyTokens: before.copyTokens + sign * use.copyTokens,
      };
      if (sum.requests === 0 && sum.memoryTokens === 0) {
        sums.delete(upstream);
      } else {
        sums.set(upstream, sum);
      }
    };

    const forget = (node: string): void => {
      for (const use of usesOf.get(node) ?? []) {
        add(use, -1);
      }
      usesOf.delete(node);
    };

    return {
      update: (node, uses) => {
        forget(node);
        usesOf.set(node, uses);
        for (const use of uses) {
          add(use, 1);
        }
      },
      forget,
      at: (upstream) => sums.get(upstream) ?? unused(upstream),
    };
  },
};

/** The own use of one upstream. */
export const ownUse = (member: FleetMember): UpstreamUse => {
  let requests = 0;
  let promptTokens = 0;
  let memoryTokens = 0;
  let copyTokens = 0;
  for (const run of member.ownRuns.values()) {
    requests += run.isBackup ? 0 : 1;
    promptTokens += run.hasBegun ? 0 : run.promptTokens;
    memoryTokens += run.expectedTokens;
    copyTokens += run.isBackup ? run.expectedTokens : 0;
  }
  return {
    upstream: member.upstream.id,
    requests,
    promptTokens,
    memoryTokens,
    copyTokens,
  };
};
