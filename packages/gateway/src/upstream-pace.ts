import type { Clock } from '@zinniagrade/clock';
import { chooseByRendezvous } from '@zinniagrade/membership';
import {
  beginPace,
  coldPart,
  countPaceSenders,
  fullPace,
  mergePace,
  nextPace,
  ownUse,
  paceLimit,
  reducePace,
  type FleetMember,
  type Pace,
  type PaceEvidence,
  type UpstreamUse,
} from '@zinniagrade/serving';
import { z } from 'zod';
import type { ClusterState } from './cluster-state.js';
import type { Log } from './log.js';
import { observePace } from './pace-evidence.js';
import type { PeerTopic, RowFields } from './peer-topics.js';
import type { UpstreamClient } from './upstream-client.js';

export interface UpstreamPaceOptions {
  readonly node: string;
  /** Whether upstreams that appear have started now, as the earlier ones are known. */
  readonly knowsUpstreams: () => boolean;
  /** Other nodes from which messages arrive. */
  readonly aliveNodes: () => ReadonlySet<string>;
  readonly openTopic: (topic: PeerTopic) => (fields: RowFields) => void;
  readonly isSharedByAll: (topic: string) => boolean;
  readonly peerUse: (upstream: string) => UpstreamUse;
  /** Placements of a service by other nodes that this node does not know of yet. */
  readonly unknownPlacements: (service: string) => number;
  readonly recordRise: (durationMs: number) => void;
}

/** Keeps the pace of upstreams that have started, failed or turned cold, over all nodes together. */
export interface UpstreamPace {
  /** Whether the pace of the upstream allows another request of this node. */
  readonly allows: (member: FleetMember) => boolean;
  /** Wraps a client so that the pace follows from the answers of upstreams. */
  readonly observe: (client: UpstreamClient) => UpstreamClient;
  /** Requests that may be in flight, of each upstream whose pace rises. */
  readonly limits: () => ReadonlyMap<string, number>;
}

export const paceTopic = 'pace';
/**
 * Share of answers that failed from which a node takes an upstream for one that has to recover:
 * two failures in a row, as single ones occur at sound upstreams.
 */
const minFailureShare = 0.3;
/**
 * So many nodes must have seen failures within a short time, as one that is cut off from upstreams
 * would otherwise take them away from all others.
 */
const minFailingNodes = 3;
const failureLifeMs = 2000;
/** Below this share of the registered nodes, a node takes itself to be cut off from the others. */
const minAliveShare = 0.5;
const maxColdMs = 3_600_000;
const maxKnownUpstreams = 4096;

/** Upstream, step, limit (0 without one), remaining cold time, and 1 if the sender sees it fail. */
const rowSchema = z
  .tuple([
    z.string().min(1),
    z.number().int().min(0),
    z.number().int().min(0),
    z.number().min(0).max(maxColdMs),
    z.literal([0, 1]),
  ])
  .rest(z.unknown());

export const UpstreamPace = {
  create: (
    clock: Clock,
    log: Log,
    cluster: ClusterState,
    options: UpstreamPaceOptions,
  ): UpstreamPace => {
    const now = clock.monotonicMs;
    const { members } = cluster.fleet;
    const paces = new Map<string, Pace>();
    /** Start of the last known process of each upstream. */
    const starts = new Map<string, number>();
    /** When each node has last seen an upstream fail. */
    const failures = new WeakMap<FleetMember, Map<string, number>>();
    const ranks = new WeakMap<Pace, number>();

    const paceOf = (id: string): Pace => paces.get(id) ?? fullPace;

    const rowOf = (id: string, fails = false): RowFields => {
      const { step, limit } = paceOf(id);
      const coldLeftMs = (members.get(id)?.coldUntilMs ?? 0) - now();
      return [id, step, limit ?? 0, Math.max(0, Math.round(coldLeftMs)), fails ? 1 : 0];
    };

    const end = (id: string, { begunAtMs, step }: Pace, cause: string): void => {
      const tookMs = Math.round(now() - begunAtMs);
      options.recordRise(tookMs);
      log.event('upstream gets its full share', { upstream: id, cause, tookMs, step });
    };

    /** Changes the pace at this node; returns whether it has changed. */
    const set = (id: string, next: Pace, cause: string): boolean => {
      const before = paceOf(id);
      if (next === before) {
        return false;
      }
      paces.set(id, next);
      if (next.limit !== undefined && before.limit === undefined) {
        log.event('pace of upstream begins to rise', { upstream: id, cause, limit: next.limit });
      } else if (next.limit === undefined && before.limit !== undefined) {
        end(id, before, cause);
      }
      return true;
    };

    /** The limit of a rising upstream, undefined at full share. */
    const limitOf = (id: string): number | undefined => {
      const pace = paceOf(id);
      const limit = paceLimit(pace, now());
      if (limit === undefined && pace.limit !== undefined) {
        set(id, { ...pace, limit: undefined }, 'time');
      }
      return limit;
    };

    const share = options.openTopic({
      name: paceTopic,
      receive: (node, fields) => {
        const row = rowSchema.safeParse(fields);
        if (!row.success) {
          return false;
        }
        const [id, step, limit, coldLeftMs, fails] = row.data;
        set(
          id,
          mergePace(paceOf(id), { step, limit: limit === 0 ? undefined : limit }, now()),
          'node',
        );
        const member = members.get(id);
        if (member !== undefined && coldLeftMs > 0) {
          member.coldUntilMs = Math.max(member.coldUntilMs, now() + coldLeftMs);
        }
        if (member !== undefined && fails === 1) {
          recordFailure(member, node);
        }
        return true;
      },
      snapshot: () =>
        [...paces]
          .filter(([, pace]) => paceLimit(pace, now()) !== undefined)
          .map(([id]) => rowOf(id)),
    });

    const setAndShare = (id: string, next: Pace, cause: string): void => {
      if (set(id, next, cause)) {
        share(rowOf(id));
      }
    };

    const inFlight = (member: FleetMember): number =>
      ownUse(member).requests + options.peerUse(member.upstream.id).requests;

    const reduce = (member: FleetMember, cause: string): void => {
      const { id, slots } = member.upstream;
      setAndShare(id, reducePace(paceOf(id), slots, inFlight(member), now()), cause);
    };

    /** Begins a rise when this node and enough others have seen the upstream fail. */
    const recordFailure = (member: FleetMember, node: string): void => {
      const { id } = member.upstream;
      const seen = failures.get(member) ?? new Map<string, number>();
      failures.set(member, seen.set(node, now()));
      for (const [other, atMs] of seen) {
        if (now() - atMs > failureLifeMs) {
          seen.delete(other);
        }
      }
      const needed = Math.min(minFailingNodes, options.aliveNodes().size + 1);
      if (limitOf(id) === undefined && seen.has(options.node) && seen.size >= needed) {
        reduce(member, 'failures');
      }
    };

    /** Tells the other nodes of a failure of an upstream at its full share. */
    const reportFailure = (member: FleetMember): void => {
      if (failures.get(member)?.has(options.node) !== true) {
        share(rowOf(member.upstream.id, true));
      }
      recordFailure(member, options.node);
    };

    /** Registrations may lapse and come back, so those that are gone are kept for a while. */
    const forgetGone = (): void => {
      if (starts.size < maxKnownUpstreams) {
        return;
      }
      for (const id of starts.keys()) {
        if (!members.has(id)) {
          starts.delete(id);
          paces.delete(id);
        }
      }
    };

    cluster.onChange((change) => {
      if (change.kind !== 'upstream' || change.upstream === undefined) {
        return;
      }
      const { id, bornAtMs = 0, slots } = change.upstream;
      forgetGone();
      const isNew = starts.get(id) !== bornAtMs;
      starts.set(id, bornAtMs);
      // All nodes learn of a start by themselves, so it isn't shared.
      if (isNew && options.knowsUpstreams()) {
        set(id, beginPace(paceOf(id), slots, now()), 'start');
      }
    });

    const rank = (pace: Pace, id: string): number => {
      const known = ranks.get(pace);
      if (known !== undefined) {
        return known;
      }
      const nodes = [...cluster.nodes.keys()];
      const key = `pace|${id}|${String(pace.step)}`;
      const found = chooseByRendezvous(key, nodes, nodes.length).indexOf(options.node);
      ranks.set(pace, found);
      return found;
    };

    const recordEvidence = (member: FleetMember, evidence: PaceEvidence): void => {
      const { id, slots } = member.upstream;
      if (limitOf(id) !== undefined) {
        const next = nextPace(paceOf(id), evidence, slots, now());
        if (next !== undefined) {
          setAndShare(id, next, evidence.verdict);
        }
        return;
      }
      if (evidence.verdict === 'failed' && member.failureShare >= minFailureShare) {
        reportFailure(member);
      }
    };

    return {
      allows: (member) => {
        const { id, service } = member.upstream;
        const limit = limitOf(id);
        const pace = paceOf(id);
        if (limit === undefined || !options.isSharedByAll(paceTopic)) {
          return true;
        }
        const nodeCount = Math.max(1, cluster.nodes.size);
        if (options.aliveNodes().size + 1 < minAliveShare * nodeCount) {
          const place = rank(pace, id);
          return place >= 0 && ownUse(member).requests < coldPart(limit, nodeCount, place);
        }
        const room = limit - inFlight(member);
        const senders = countPaceSenders(nodeCount, room, options.unknownPlacements(service));
        return room > 0 && (senders >= nodeCount || rank(pace, id) < senders);
      },
      observe: (client) =>
        observePace(client, clock, cluster, {
          inFlight,
          peerUse: options.peerUse,
          isRising: (member) => limitOf(member.upstream.id) !== undefined,
          onEvidence: recordEvidence,
          onLost: (member) => {
            const isAmongMany = options.aliveNodes().size + 1 >= minFailingNodes;
            if (isAmongMany && limitOf(member.upstream.id) === undefined) {
              reportFailure(member);
            }
          },
          onCold: (member) => {
            reduce(member, 'cold');
          },
        }),
      limits: () => {
        const found = new Map<string, number>();
        for (const id of paces.keys()) {
          const limit = limitOf(id);
          if (limit !== undefined && members.has(id)) {
            found.set(id, limit);
          }
        }
        return found;
      },
    };
  },
};
