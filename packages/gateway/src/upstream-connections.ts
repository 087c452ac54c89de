import type { ServingContext } from './call.js';
import type { NodeEntry } from './cluster-state.js';

/** Share of the connections that upstreams accept; nodes that just died may still hold the rest. */
const connectionLimitShare = 0.8;
/** Enough for a few streams with a copy each, and a load report. */
const minConnectionLimit = 8;

/**
 * Splits the connection limit of each upstream among the nodes: upstreams count all nodes'
 * connections.
 */
export const limitConnections = ({ cluster, client, nodeCount }: ServingContext): void => {
  for (const { name, maxConnections } of cluster.configuration()?.services.values() ?? []) {
    const limit = (connectionLimitShare * maxConnections) / nodeCount();
    client.limitConnections(name, Math.max(minConnectionLimit, Math.floor(limit)));
  }
};

/** Closes idle connections to addresses of which no upstream is known any more. */
export const closeUnusedConnections = ({ cluster, client }: ServingContext): void => {
  const addresses = new Set<string>();
  for (const member of cluster.fleet.members.values()) {
    addresses.add(member.upstream.address);
  }
  client.closeIdleExcept(addresses);
};

export const callerAddressesOf = (nodes: Iterable<NodeEntry>): ReadonlySet<string> =>
  new Set([...nodes].map(({ callerAddress }) => callerAddress));
