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
  readonly update: (node: string, uses: readonly UpstreamUse[], nowMs: number) => void;
  readonly forget: (node: string) => void;
  /** The sum over all other nodes that were heard of lately. */
  readonly at: (upstream: string, nowMs: number) => UpstreamUse;
}

interface Snapshot {
  readonly uses: ReadonlyMap<string, UpstreamUse>;
  readonly atMs: number;
}

/** A node that isn't heard of for this long has lost its connections to upstreams too. */
const lifeMs = 3000;

export const PeerUse = {
  create: (): PeerUse => {
    const snapshots = new Map<string, Snapshot>();
    return {
      update: (node, uses, nowMs) => {
        snapshots.set(node, {
          uses: new Map(uses.map((use) => [use.upstream, use])),
          atMs: nowMs,
        });
      },
      forget: (node) => {
        snapshots.delete(node);
      },
      at: (upstream, nowMs) => {
        let requests = 0;
        let promptTokens = 0;
        let memoryTokens = 0;
        let copyTokens = 0;
        for (const { uses, atMs } of snapshots.values()) {
          const use = nowMs - atMs > lifeMs ? undefined : uses.get(upstream);
          if (use !== undefined) {
            requests += use.requests;
            promptTokens += use.promptTokens;
            memoryTokens += use.memoryTokens;
            copyTokens += use.copyTokens;
          }
        }
        return { upstream, requests, promptTokens, memoryTokens, copyTokens };
      },
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
