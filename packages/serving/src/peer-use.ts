import type { FleetMember } from './fleet.js';

/** Resources that the unfinished requests of one node take at one upstream. */
export interface UpstreamUse {
  readonly upstream: string;
  readonly requests: number;
  /** Prompt tokens of requests that have no first event yet. */
  readonly promptTokens: number;
  /**
   * Expected memory of these requests at their end, plus backup copies of requests run elsewhere.
   */
  readonly memoryTokens: number;
  /** The part of `memoryTokens` that is for backup copies. */
  readonly copyTokens: number;
}

/** Use of the upstreams by the other nodes, as last announced by each. */
export interface PeerUse {
  /** Replaces the announcement of a node. */
  readonly update: (node: string, uses: readonly UpstreamUse[]) => void;
  /** Removes an unreachable node, which is assumed to have lost its upstream connections too. */
  readonly forget: (node: string) => void;
  /** The sum for one upstream over all other nodes. */
  readonly totalFor: (upstream: string) => UpstreamUse;
}

const zeroUse = (upstream: string): UpstreamUse => ({
  upstream,
  requests: 0,
  promptTokens: 0,
  memoryTokens: 0,
  copyTokens: 0,
});

/** Sums are updated on each announcement, because each placement reads them for every engine. */
export const PeerUse = {
  create: (): PeerUse => {
    const usesByNode = new Map<string, readonly UpstreamUse[]>();
    const sums = new Map<string, UpstreamUse>();

    const add = (use: UpstreamUse, sign: 1 | -1): void => {
      const { upstream } = use;
      const before = sums.get(upstream) ?? zeroUse(upstream);
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
      for (const use of usesByNode.get(node) ?? []) {
        add(use, -1);
      }
      usesByNode.delete(node);
    };

    return {
      update: (node, uses) => {
        forget(node);
        usesByNode.set(node, uses);
        for (const use of uses) {
          add(use, 1);
        }
      },
      forget,
      totalFor: (upstream) => sums.get(upstream) ?? zeroUse(upstream),
    };
  },
};

/** Use of one upstream by this node. */
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
