import { LRUCache } from 'lru-cache';
import { recordColdSend } from './cold-limit.js';
import { applyFigures } from './measured-figures.js';
import { StatedLimit } from './stated-limit.js';
import { UpstreamFigures } from './upstream-figures.js';
import type { EngineLoad, ServiceLoad, Upstream } from './upstream.js';

/** A request that this node has in flight at an upstream, or a backup copy of one. */
export interface OwnRun {
  readonly requestId: string;
  readonly sentAtMs: number;
  /** Prompt tokens that the engine has to process. */
  readonly promptTokens: number;
  /** Prompt tokens and expected output tokens. */
  readonly expectedTokens: number;
  /** Whether the first event has been received. */
  hasBegun: boolean;
  /** Set for a copy that only takes memory here, while the request runs at another upstream. */
  readonly isBackup: boolean;
}

/** State of one upstream as seen by this node. Mutable, because it is read for every request. */
export interface FleetMember {
  upstream: Upstream;
  /** When the registration was last read, on the monotonic clock of this node. */
  registeredAtMs: number;
  /** Requests of this node in flight and its backup copies, by request id. */
  readonly ownRuns: Map<string, OwnRun>;
  engineLoad?: EngineLoad | undefined;
  engineLoadAtMs: number;
  serviceLoad?: ServiceLoad | undefined;
  serviceLoadAtMs: number;
  /** Requests of the stated load that no node had announced when it was read. */
  unannouncedRequests: number;
  /** What this node and others have measured; the next three follow from it. */
  readonly figures: UpstreamFigures;
  /** Smoothed time to the first event per queued prompt token; 0 until one is measured. */
  msPerPromptToken: number;
  /**
   * Smoothed latency of successful responses at the usual pace, without the wait for a slot; 0 until
   * one is measured.
   */
  latencyMs: number;
  /** Smoothed share of responses that failed, 0 to 1. */
  failureShare: number;
  /** After connection failures, no requests are sent before this time. */
  avoidUntilMs: number;
  /** When a connection to it last failed to open; the latest failure counts for a short time. */
  unreachedAtMs: number;
  /** Until this time the upstream wants no requests of this node, as it has stated. */
  waitUntilMs: number;
  /** Until this time on the monotonic clock the upstream is cold and would fail under full load. */
  coldUntilMs: number;
  /** Times of the requests that this node sent lately; see `coldWindowMs`. */
  readonly coldSends: number[];
  /** The requests per second that the upstream states it takes, and what this node has used. */
  readonly statedLimit: StatedLimit;
  /** Whether a response has stated that the upstream is leaving; only its restart takes that back. */
  statesLeaving: boolean;
  /** Set when the upstream reports that it is leaving, or its registration says so or is gone. */
  leaving: boolean;
  /** When the registration disappeared; the upstream still serves for a short time after that. */
  goneAtMs?: number | undefined;
}

/** All registered upstreams, by id. */
export interface Fleet {
  readonly members: ReadonlyMap<string, FleetMember>;
  readonly register: (upstream: Upstream, nowMs: number) => FleetMember;
  /** Excludes the upstream from new work, after it reported that it is leaving. */
  readonly markLeaving: (member: FleetMember) => void;
  /** Called when an upstream begins to leave or is lost. */
  readonly onLeave: (listener: (member: FleetMember) => void) => void;
  /** Excludes the upstream from new work; deletes it if this node has no requests there. */
  readonly remove: (id: string, nowMs: number) => void;
  readonly ofService: (service: string) => readonly FleetMember[];
  /** Deletes upstreams that are gone and without requests of this node; returns their ids. */
  readonly sweep: () => readonly string[];
}

/** Upstreams whose registration may lapse and come back, as after an outage of the store. */
const maxRemovedMembers = 256;

const createMember = (upstream: Upstream, nowMs: number): FleetMember => ({
  upstream,
  registeredAtMs: nowMs,
  ownRuns: new Map(),
  engineLoadAtMs: 0,
  serviceLoadAtMs: 0,
  unannouncedRequests: 0,
  figures: UpstreamFigures.create(),
  latencyMs: 0,
  msPerPromptToken: 0,
  failureShare: 0,
  avoidUntilMs: 0,
  unreachedAtMs: -Infinity,
  waitUntilMs: 0,
  statesLeaving: false,
  coldUntilMs: nowMs + upstream.coldLeftMs,
  coldSends: [],
  statedLimit: StatedLimit.create(),
  leaving: upstream.state === 'draining',
});

export const Fleet = {
  create: (): Fleet => {
    const members = new Map<string, FleetMember>();
    /** Kept for what they have stated, which still holds if their registration comes back. */
    const removed = new LRUCache<string, FleetMember>({ max: maxRemovedMembers });
    const listeners: ((member: FleetMember) => void)[] = [];
    const markLeaving = (member: FleetMember): void => {
      if (member.leaving) {
        return;
      }
      member.leaving = true;
      for (const listener of listeners) {
        listener(member);
      }
    };
    const deleteMember = (member: FleetMember): void => {
      members.delete(member.upstream.id);
      removed.set(member.upstream.id, member);
    };

    const addMember = (upstream: Upstream, nowMs: number): FleetMember => {
      const member = createMember(upstream, nowMs);
      members.set(upstream.id, member);
      const earlier = removed.get(upstream.id);
      member.coldSends.push(...(earlier?.coldSends ?? []));
      if (earlier !== undefined && earlier.upstream.bornAtMs === upstream.bornAtMs) {
        member.statesLeaving = earlier.statesLeaving;
        member.leaving ||= earlier.statesLeaving;
        member.waitUntilMs = earlier.waitUntilMs;
        member.coldUntilMs = Math.max(member.coldUntilMs, earlier.coldUntilMs);
      }
      return member;
    };

    return {
      members,
      markLeaving,
      onLeave: (listener) => {
        listeners.push(listener);
      },
      register: (upstream, nowMs) => {
        const known = members.get(upstream.id);
        if (known === undefined) {
          return addMember(upstream, nowMs);
        }
        if (upstream.bornAtMs !== known.upstream.bornAtMs) {
          known.statesLeaving = false;
          known.waitUntilMs = 0;
          known.figures.reset(nowMs);
          applyFigures(known, nowMs);
          known.coldUntilMs = 0;
        }
        known.upstream = upstream;
        known.registeredAtMs = nowMs;
        known.coldUntilMs = Math.max(known.coldUntilMs, nowMs + upstream.coldLeftMs);
        known.goneAtMs = undefined;
        if (upstream.state === 'draining') {
          markLeaving(known);
        } else {
          known.leaving = known.statesLeaving;
        }
        return known;
      },
      remove: (id, nowMs) => {
        const member = members.get(id);
        if (member === undefined) {
          return;
        }
        markLeaving(member);
        member.goneAtMs ??= nowMs;
        if (member.ownRuns.size === 0) {
          deleteMember(member);
        }
      },
      ofService: (service) => {
        const found: FleetMember[] = [];
        for (const member of members.values()) {
          if (member.upstream.service === service) {
            found.push(member);
          }
        }
        return found;
      },
      sweep: () => {
        const deletedIds: string[] = [];
        for (const [id, member] of members) {
          if (member.goneAtMs !== undefined && member.ownRuns.size === 0) {
            deleteMember(member);
            deletedIds.push(id);
          }
        }
        return deletedIds;
      },
    };
  },
};

/** Records a request that this node sends, for the limits on the rate of requests. */
export const recordSend = (member: FleetMember, nowMs: number): void => {
  recordColdSend(member, nowMs);
  member.statedLimit.recordSend(nowMs);
};

/** Time for which an upstream counts as unreached after a connection to it failed to open. */
const unreachedMs = 500;

/** Whether no connection opened lately to any of these upstreams that still serve. */
export const areAllUnreached = (members: readonly FleetMember[], nowMs: number): boolean => {
  const serving = members.filter(({ leaving, goneAtMs }) => !leaving && goneAtMs === undefined);
  return (
    serving.length > 0 && serving.every(({ unreachedAtMs }) => nowMs - unreachedAtMs <= unreachedMs)
  );
};
