import type { UpstreamUse } from './peer-use.js';

/** Memory that the running generations of other nodes take, by service. */
export interface RunningMemory {
  /** Returns by how much the memory of each service has changed since the node's last announcement. */
  readonly update: (node: string, uses: readonly UpstreamUse[]) => ReadonlyMap<string, number>;
  readonly forget: (node: string) => void;
}

const none: ReadonlyMap<string, number> = new Map();

export const RunningMemory = {
  create: (serviceOf: (upstream: string) => string | undefined): RunningMemory => {
    const byNode = new Map<string, ReadonlyMap<string, number>>();
    return {
      update: (node, uses) => {
        const used = new Map<string, number>();
        for (const { upstream, memoryTokens, copyTokens } of uses) {
          const service = serviceOf(upstream);
          if (service !== undefined) {
            used.set(service, (used.get(service) ?? 0) + memoryTokens - copyTokens);
          }
        }
        const before = byNode.get(node);
        byNode.set(node, used);
        if (before === undefined) {
          // What a node had before it was heard of has not begun now.
          return none;
        }
        const changes = new Map<string, number>();
        for (const service of new Set([...used.keys(), ...before.keys()])) {
          changes.set(service, (used.get(service) ?? 0) - (before.get(service) ?? 0));
        }
        return changes;
      },
      forget: (node) => {
        byNode.delete(node);
      },
    };
  },
};
