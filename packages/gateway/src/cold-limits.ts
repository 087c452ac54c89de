import type { Clock } from '@zinniagrade/clock';
import { chooseByRendezvous } from '@zinniagrade/membership';
import {
  ColdShares,
  isBelowColdPart,
  totalColdSends,
  type ColdLimit,
  type FleetMember,
  type Upstream,
} from '@zinniagrade/serving';
import type { ClusterState } from './cluster-state.js';

export interface ColdLimitsOptions {
  readonly node: string;
  readonly bounds: () => Pick<ColdLimit, 'excess' | 'slack'>;
}

/** Keeps the limit of requests to each cold upstream, over all nodes together. */
export interface ColdLimits {
  /** Whether the upstream is warm, or its limit allows another request of this node. */
  readonly allows: (member: FleetMember) => boolean;
}

/** Varies between upstreams and their starts, so that no node is always among those without a part. */
const shareKey = ({ id, bornAtMs }: Upstream): string => `cold|${id}|${String(bornAtMs ?? 0)}`;

export const ColdLimits = {
  /**
   * Registered nodes get the parts, not those from which messages arrive: a node that is cut off
   * would otherwise take the parts of all others. One that isn't registered has no part, as others
   * don't count it.
   */
  create: (clock: Clock, cluster: ClusterState, options: ColdLimitsOptions): ColdLimits => {
    const now = clock.monotonicMs;
    const shares = ColdShares.create(
      (key, nodes) => chooseByRendezvous(key, nodes, nodes.length).indexOf(options.node),
      now(),
    );

    cluster.onChange(({ kind }) => {
      if (kind === 'node') {
        shares.setNodes([...cluster.nodes.keys()], now());
      }
    });

    return {
      allows: (member) => {
        const { upstream } = member;
        const perSecond =
          cluster.configuration()?.services.get(upstream.service)?.coldPerSecond ?? 0;
        if (perSecond <= 0 || member.coldUntilMs <= now()) {
          return true;
        }
        const total = totalColdSends({ perSecond, ...options.bounds() });
        return isBelowColdPart(member, shares.partOf(shareKey(upstream), total, now()), now());
      },
    };
  },
};
