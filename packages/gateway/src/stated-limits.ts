import type { Clock } from '@zinniagrade/clock';
import { chooseByRendezvous } from '@zinniagrade/membership';
import { countSenders, type Fleet, type FleetMember } from '@zinniagrade/serving';
import type { Log } from './log.js';
import type { ResponseHead } from './upstream-client.js';

/** What a node has learned of the limit that an upstream states. */
export interface LimitFinding {
  readonly upstream: string;
  /** Requests per second from all nodes together; undefined if the limit was withdrawn. */
  readonly perSecond?: number;
  readonly ageMs: number;
  /** Requests that the node sent there in the second before it knew the limit. */
  readonly earlierSends: number;
}

export interface StatedLimitsOptions {
  readonly node: string;
  /** Registered nodes, this one included. */
  readonly nodeCount: () => number;
  /** Other nodes from which messages arrive. */
  readonly aliveNodes: () => ReadonlySet<string>;
  /** Sends a finding to the other nodes. */
  readonly share: (finding: LimitFinding) => void;
}

/** Keeps the limits that upstreams in need state, over all nodes together. */
export interface StatedLimits {
  /** Whether the limit of the upstream, if it states one, allows another request of this node. */
  readonly allows: (member: FleetMember) => boolean;
  /** To be called with the head of each response to a request that was sent at this time. */
  readonly onResponse: (member: FleetMember, head: ResponseHead, sentAtMs: number) => void;
  readonly receive: (finding: LimitFinding) => void;
  /** Limits for a node that has none yet. */
  readonly findings: () => readonly LimitFinding[];
}

/** A limit that stays the same is shared again after this time, so that no node forgets it. */
const shareIntervalMs = 1000;

export const StatedLimits = {
  create: (clock: Clock, log: Log, fleet: Fleet, options: StatedLimitsOptions): StatedLimits => {
    /** When this node has last shared the limit of a member. */
    const sharedAtMs = new WeakMap<FleetMember, number>();
    const now = clock.monotonicMs;

    const isSender = (member: FleetMember, senders: number): boolean =>
      senders >= options.nodeCount() ||
      chooseByRendezvous(
        member.upstream.id,
        [options.node, ...options.aliveNodes()],
        senders,
      ).includes(options.node);

    const share = (member: FleetMember, earlierSends: number): void => {
      const perSecond = member.statedLimit.perSecond(now());
      sharedAtMs.set(member, now());
      options.share({
        upstream: member.upstream.id,
        ...(perSecond === undefined ? {} : { perSecond }),
        ageMs: now() - member.statedLimit.statedAtMs(),
        earlierSends,
      });
    };

    /** Applies a statement, and tells the other nodes what they can't know yet. */
    const update = (
      member: FleetMember,
      perSecond: number | undefined,
      statedAtMs: number,
      isOwnFinding: boolean,
    ): void => {
      const limit = member.statedLimit;
      const before = limit.perSecond(statedAtMs);
      const hasChanged = limit.update({ perSecond, statedAtMs });
      const earlierSends = hasChanged && before === undefined ? limit.recentSends(now()) : 0;
      if (hasChanged) {
        log.event('upstream limit changed', {
          upstream: member.upstream.id,
          perSecond,
          before,
          earlierSends,
          ageMs: Math.round(now() - statedAtMs),
          from: isOwnFinding ? 'response' : 'node',
        });
      }
      const isDue = now() - (sharedAtMs.get(member) ?? -Infinity) >= shareIntervalMs;
      if (earlierSends > 0 || (isOwnFinding && (hasChanged || isDue))) {
        share(member, earlierSends);
      }
    };

    return {
      allows: (member) => {
        const perSecond = member.statedLimit.perSecond(now());
        if (perSecond === undefined) {
          return true;
        }
        const senders = countSenders(perSecond, options.nodeCount());
        return member.statedLimit.allowsSend(senders, now()) && isSender(member, senders);
      },
      onResponse: (member, head, sentAtMs) => {
        const limit = member.statedLimit;
        if (head.requestsPerSecond !== undefined) {
          update(member, head.requestsPerSecond, now(), true);
          return;
        }
        // A response to an earlier request may have overtaken the one with the limit.
        const isNewer = sentAtMs > limit.statedAtMs();
        const isGenuine = head.sealed && head.matchesRequest;
        if (limit.perSecond(now()) !== undefined && isNewer && isGenuine) {
          update(member, undefined, now(), true);
        }
      },
      receive: ({ upstream, perSecond, ageMs, earlierSends }) => {
        const member = fleet.members.get(upstream);
        if (member !== undefined) {
          update(member, perSecond, now() - Math.max(0, ageMs), false);
          member.statedLimit.recordEarlierSends(earlierSends);
        }
      },
      findings: () => {
        const found: LimitFinding[] = [];
        for (const { upstream, statedLimit } of fleet.members.values()) {
          const perSecond = statedLimit.perSecond(now());
          if (perSecond !== undefined) {
            const ageMs = now() - statedLimit.statedAtMs();
            found.push({ upstream: upstream.id, perSecond, ageMs, earlierSends: 0 });
          }
        }
        return found;
      },
    };
  },
};
