import type { ServiceLoad } from './upstream.js';

/** The load of an upstream that all nodes know, and what this node may still share of it. */
interface KnownLoad {
  load: ServiceLoad | undefined;
  atMs: number;
  allowance: number;
  allowanceAtMs: number;
}

/** Loads of one upstream that all nodes together share in a second, over some time. */
const maxLoadsPerSecond = 4;
/** No load is shared sooner after another: it takes as long until all nodes know of the first. */
const minIntervalMs = 200;
/** A load that was shared longer ago counts for little, so that a similar one is worth sharing. */
const maxAgeMs = 800;
/** Change of the requests, in parts of the slots, or of the pace, that is worth a message. */
const notableChange = 0.34;

/** Decides which of the loads that upstreams state a node tells the others. */
export interface LoadSharing {
  /** Whether to share a load that this node has just read; it then counts as shared. */
  readonly take: (upstream: string, load: ServiceLoad, nodeCount: number, nowMs: number) => boolean;
  /** To be called with each load that another node has shared. */
  readonly receive: (upstream: string, load: ServiceLoad, atMs: number) => void;
  readonly forgetExcept: (isKept: (upstream: string) => boolean) => void;
}

const differsMuch = (load: ServiceLoad, known: ServiceLoad): boolean => {
  const requests = load.running + load.waiting;
  const knownRequests = known.running + known.waiting;
  const pace = load.pace ?? 1;
  const knownPace = known.pace ?? 1;
  return (
    Math.abs(requests - knownRequests) >= notableChange * load.slots ||
    Math.abs(pace - knownPace) >= notableChange * Math.min(pace, knownPace)
  );
};

/** A load that says nothing new to a node that knows none. */
const isUsual = (load: ServiceLoad): boolean =>
  !differsMuch(load, { running: 0, waiting: 0, slots: load.slots });

export const LoadSharing = {
  create: (): LoadSharing => {
    const loads = new Map<string, KnownLoad>();

    const known = (upstream: string, nowMs: number): KnownLoad => {
      const found = loads.get(upstream);
      if (found !== undefined) {
        return found;
      }
      const created = { load: undefined, atMs: -Infinity, allowance: 1, allowanceAtMs: nowMs };
      loads.set(upstream, created);
      return created;
    };

    return {
      take: (upstream, load, nodeCount, nowMs) => {
        const state = known(upstream, nowMs);
        const perMs = maxLoadsPerSecond / 1000 / Math.max(1, nodeCount);
        state.allowance = Math.min(1, state.allowance + perMs * (nowMs - state.allowanceAtMs));
        state.allowanceAtMs = nowMs;
        const ageMs = nowMs - state.atMs;
        const isNews =
          state.load === undefined || ageMs > maxAgeMs
            ? !isUsual(load)
            : differsMuch(load, state.load);
        if (!isNews || ageMs < minIntervalMs || state.allowance < 1) {
          return false;
        }
        state.allowance -= 1;
        state.load = load;
        state.atMs = nowMs;
        return true;
      },
      receive: (upstream, load, atMs) => {
        const state = known(upstream, atMs);
        if (atMs >= state.atMs) {
          state.load = load;
          state.atMs = atMs;
        }
      },
      forgetExcept: (isKept) => {
        for (const upstream of loads.keys()) {
          if (!isKept(upstream)) {
            loads.delete(upstream);
          }
        }
      },
    };
  },
};
