import { coldPart, coldWindowMs } from './cold-limit.js';

/** Divides the limit of each cold upstream among the nodes, as all nodes do. */
export interface ColdShares {
  /** Replaces the registered nodes. */
  readonly setNodes: (nodes: readonly string[], nowMs: number) => void;
  /** Requests of the total that this node may send within a window; `key` names the upstream. */
  readonly partOf: (key: string, total: number, nowMs: number) => number;
}

/**
 * Place of this node in the order in which nodes get parts of the limit with this key; negative if it
 * isn't among them.
 */
export type RankInOrder = (key: string, nodes: readonly string[]) => number;

/** Nodes learn of a changed registration within this time of each other. */
const agreementMs = 250;
/** Time for which an earlier set of nodes may still have sends within a window. */
const holdMs = coldWindowMs + agreementMs;
/** Bounds the cache, as upstreams that restart leave their keys behind. */
const maxCachedRanks = 512;

interface NodeSet {
  readonly nodes: readonly string[];
  readonly fromMs: number;
  readonly ranks: Map<string, number>;
}

/**
 * Divides a limit so that the parts never exceed it, although nodes learn of joined and left nodes
 * at different times: a node uses the smallest part that it had lately. One that takes the place of
 * another one thereby waits until the sends of that one are out of the window. The same holds for a
 * node that has just started, as an earlier process of its name may have sent requests.
 */
export const ColdShares = {
  create: (rankOf: RankInOrder, createdAtMs: number): ColdShares => {
    const createSet = (nodes: readonly string[], fromMs: number): NodeSet => ({
      nodes,
      fromMs,
      ranks: new Map(),
    });
    /** In order of time; the last one is current. */
    const sets: NodeSet[] = [createSet([], createdAtMs)];

    const partIn = ({ nodes, ranks }: NodeSet, key: string, total: number): number => {
      if (nodes.length === 0) {
        return 0;
      }
      let rank = ranks.get(key);
      if (rank === undefined) {
        if (ranks.size >= maxCachedRanks) {
          ranks.clear();
        }
        rank = rankOf(key, nodes);
        ranks.set(key, rank);
      }
      return rank < 0 ? 0 : coldPart(total, nodes.length, rank);
    };

    return {
      setNodes: (nodes, nowMs) => {
        if (sets.length > 1 && sets.at(-1)?.fromMs === nowMs) {
          sets.pop();
        }
        sets.push(createSet(nodes, nowMs));
      },
      partOf: (key, total, nowMs) => {
        while ((sets[1]?.fromMs ?? nowMs) < nowMs - holdMs) {
          sets.shift();
        }
        let part = total;
        for (const set of sets) {
          part = Math.min(part, partIn(set, key, total));
          if (part === 0) {
            break;
          }
        }
        return part;
      },
    };
  },
};
