import type { EngineLoad, ServiceLoad, Upstream } from './upstream.js';

/** A request of this node at an upstream. */
export interface OwnRun {
  readonly requestId: string;
  readonly sentAtMs: number;
  /** Prompt that the engine has to read. */
  readonly promptTokens: number;
  /** Prompt and expected output. */
  readonly expectedTokens: number;
  /** Whether its first event has come. */
  hasBegun: boolean;
  /** Only memory is used here: the request runs at another upstream. */
  readonly isBackup: boolean;
}

/** What this node knows of one upstream. Changed in place: it is read for each request. */
export interface FleetMember {
  upstream: Upstream;
  /** When the registration was last read, on the node's steady clock. */
  registeredAtMs: number;
  /** Own requests in flight, by request id. */
  readonly ownRuns: Map<string, OwnRun>;
  engineLoad?: EngineLoad | undefined;
  engineLoadAtMs: number;
  serviceLoad?: ServiceLoad | undefined;
  serviceLoadAtMs: number;
  /** Smoothed time to the first event for each prompt token that was waiting; 0 before the first. */
  msPerPromptToken: number;
  /** Smoothed latency of its answers, in milliseconds; 0 before the first. */
  latencyMs: number;
  /** Smoothed share of its answers that failed, 0 to 1. */
  failureShare: number;
  /** No requests are sent before this time, after connections failed. */
  avoidUntilMs: number;
  /** Cold upstreams fall over under full load; until this time on the node's steady clock. */
  coldUntilMs: number;
  /** When this node sent requests within the last second, while the upstream was cold. */
  readonly coldSends: number[];
  /** Set when the upstream said itself that it is leaving, or a withdrawal was read. */
  leaving: boolean;
  /** Set when the registration is gone: the upstream serves on for a short time. */
  goneAtMs?: number | undefined;
}

/** All registered upstreams, by id. */
export interface Fleet {
  readonly members: ReadonlyMap<string, FleetMember>;
  readonly register: (upstream: Upstream, nowMs: number) => FleetMember;
  /** Takes the upstream out of the choice, as it said itself that it is leaving. */
  readonly leave: (member: FleetMember) => void;
  /** Called when an upstream begins to leave or is lost. */
  readonly onLeave: (listener: (member: FleetMember) => void) => void;
  /** Takes the upstream out of the choice; forgets it when no own request is left there. */
  readonly remove: (id: string, nowMs: number) => void;
  readonly ofService: (service: string) => readonly FleetMember[];
  /** Forgets upstreams that are gone and idle. */
  readonly sweep: () => readonly string[];
}

/** Weight of the newest first event: a cold engine is faster a few seconds later. */
const firstEventWeight = 0.4;
/** Weight of the newest answer in the smoothed figures. */
const newestWeight = 0.2;

const createMember = (upstream: Upstream, nowMs: number): FleetMember => ({
  upstream,
  registeredAtMs: nowMs,
  ownRuns: new Map(),
  engineLoadAtMs: 0,
  serviceLoadAtMs: 0,
  latencyMs: 0,
  msPerPromptToken: 0,
  failureShare: 0,
  avoidUntilMs: 0,
  coldUntilMs: nowMs + upstream.coldLeftMs,
  coldSends: [],
  leaving: upstream.state === 'draining',
});

export const Fleet = {
  create: (): Fleet => {
    const members = new Map<string, FleetMember>();
    const listeners: ((member: FleetMember) => void)[] = [];
    const leave = (member: FleetMember): void => {
      if (member.leaving) {
        return;
      }
      member.leaving = true;
      for (const listener of listeners) {
        listener(member);
      }
    };
    return {
      members,
      leave,
      onLeave: (listener) => {
        listeners.push(listener);
      },
      register: (upstream, nowMs) => {
        const known = members.get(upstream.id);
        if (known === undefined) {
          const member = createMember(upstream, nowMs);
          members.set(upstream.id, member);
          return member;
        }
        known.upstream = upstream;
        known.registeredAtMs = nowMs;
        known.coldUntilMs = nowMs + upstream.coldLeftMs;
        known.goneAtMs = undefined;
        if (upstream.state === 'draining') {
          leave(known);
        } else {
          known.leaving = false;
        }
        return known;
      },
      remove: (id, nowMs) => {
        const member = members.get(id);
        if (member === undefined) {
          return;
        }
        leave(member);
        member.goneAtMs ??= nowMs;
        if (member.ownRuns.size === 0) {
          members.delete(id);
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
        const dropped: string[] = [];
        for (const [id, member] of members) {
          if (member.goneAtMs !== undefined && member.ownRuns.size === 0) {
            members.delete(id);
            dropped.push(id);
          }
        }
        return dropped;
      },
    };
  },
};

/** Takes the outcome of one answer into the smoothed figures. */
export const recordAnswer = (member: FleetMember, latencyMs: number, failed: boolean): void => {
  member.failureShare += newestWeight * ((failed ? 1 : 0) - member.failureShare);
  if (failed) {
    return;
  }
  member.latencyMs =
    member.latencyMs === 0
      ? latencyMs
      : member.latencyMs + newestWeight * (latencyMs - member.latencyMs);
};

/** Takes the time to a first event into the figure by which later ones are predicted. */
export const recordFirstEvent = (
  member: FleetMember,
  tookMs: number,
  tokensAhead: number,
): void => {
  if (tokensAhead <= 0) {
    return;
  }
  const observed = tookMs / tokensAhead;
  member.msPerPromptToken =
    member.msPerPromptToken === 0
      ? observed
      : member.msPerPromptToken + firstEventWeight * (observed - member.msPerPromptToken);
};
