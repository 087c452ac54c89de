import type { Service } from './configuration.js';
import type { FleetMember } from './fleet.js';
import { ownUse, type UpstreamUse } from './peer-use.js';

/** Load of upstreams, in upstreams that would be full with it, and how many take new requests. */
export interface ServiceDemand {
  readonly load: number;
  readonly serving: number;
}

/** Unfinished requests of all nodes at an upstream, as a share of what it can run at a time. */
const loadOf = (
  member: FleetMember,
  { engine }: Service,
  peerUse: (upstream: string) => UpstreamUse,
): number => {
  const own = ownUse(member);
  const peers = peerUse(member.upstream.id);
  const slotShare = (own.requests + peers.requests) / Math.max(1, member.upstream.slots);
  if (engine === undefined) {
    return slotShare;
  }
  // Copies give way to running requests.
  const tokens = own.memoryTokens - own.copyTokens + peers.memoryTokens - peers.copyTokens;
  const total = member.engineLoad?.totalTokens ?? engine.memoryTokens;
  return Math.max(slotShare, tokens / Math.max(1, total));
};

/**
 * Sums up upstreams of a service. Those that leave count with their load, which others have to take,
 * and not as serving; neither do those in a withdrawn data centre.
 */
export const demandOf = (
  members: readonly FleetMember[],
  service: Service,
  peerUse: (upstream: string) => UpstreamUse,
  withdrawnDataCentres: ReadonlySet<string>,
): ServiceDemand => {
  let load = 0;
  let serving = 0;
  for (const member of members) {
    load += loadOf(member, service, peerUse);
    const isWithdrawn = withdrawnDataCentres.has(member.upstream.dataCentre);
    serving += member.leaving || member.goneAtMs !== undefined || isWithdrawn ? 0 : 1;
  }
  return { load, serving };
};
