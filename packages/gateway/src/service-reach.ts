import type { Clock, Random } from '@zinniagrade/clock';
import type { ClusterState, NodeEntry } from './cluster-state.js';
import type { Log } from './log.js';
import type { NodePeers } from './node-peers.js';
import { observeUpstreams } from './observed-upstreams.js';
import { ReachProbes } from './reach-probes.js';
import type { UpstreamClient } from './upstream-client.js';

/** Which services this node reaches itself, and which other nodes reach the others. */
export interface ServiceReach {
  /** Whether this node reaches none of the service's upstreams, as new connections to them show. */
  readonly isCutOff: (service: string) => boolean;
  /** Whether this node reaches no upstream of any service. */
  readonly isCutOffFromAll: () => boolean;
  /** Other nodes that stay and reach the service, by their own latest word. */
  readonly nodesReaching: (service: string) => readonly NodeEntry[];
}

/** The reach of a node, with the client through which it is watched. */
export interface WatchedReach extends ServiceReach {
  /** Client for all exchanges of the node. */
  readonly client: UpstreamClient;
  /** Services of which this node reaches no upstream. */
  readonly cutOffServices: () => readonly string[];
  /** Nodes that reach no upstream of any service, this one included. */
  readonly cutOffNodes: () => ReadonlySet<string>;
  readonly stop: () => void;
}

export interface ServiceReachOptions {
  readonly node: string;
  readonly client: UpstreamClient;
  readonly peers: Pick<NodePeers, 'aliveNodes' | 'cutOffServicesOf' | 'onReachChanged'>;
}

export const ServiceReach = {
  create: (
    clock: Clock,
    random: Random,
    log: Log,
    cluster: ClusterState,
    { node, client, peers }: ServiceReachOptions,
  ): WatchedReach => {
    const nodesReaching = (service: string): readonly NodeEntry[] => {
      const aliveNodes = peers.aliveNodes();
      const found: NodeEntry[] = [];
      for (const entry of cluster.nodes.values()) {
        // A node that doesn't tell may be of a version that can't serve for other nodes.
        const reaches = peers.cutOffServicesOf(entry.node)?.includes(service) === false;
        if (entry.node !== node && !entry.leaving && aliveNodes.has(entry.node) && reaches) {
          found.push(entry);
        }
      }
      return found;
    };

    const probes = ReachProbes.create(clock, random, log, cluster.fleet, {
      canConnect: client.canConnect,
      nodesReaching: (service) => nodesReaching(service).map((entry) => entry.node),
      onChange: peers.onReachChanged,
    });

    /** Whether these are all services that have upstreams. */
    const areAll = (services: readonly string[]): boolean => {
      if (services.length === 0) {
        return false;
      }
      for (const { upstream, goneAtMs } of cluster.fleet.members.values()) {
        if (goneAtMs === undefined && !services.includes(upstream.service)) {
          return false;
        }
      }
      return true;
    };

    const isCutOffFromAll = (): boolean => areAll(probes.cutOff());

    return {
      isCutOff: probes.isCutOff,
      isCutOffFromAll,
      nodesReaching,
      client: observeUpstreams(client, probes.observer),
      cutOffServices: probes.cutOff,
      cutOffNodes: () => {
        const found = new Set<string>();
        for (const other of cluster.nodes.keys()) {
          if (other !== node && areAll(peers.cutOffServicesOf(other) ?? [])) {
            found.add(other);
          }
        }
        if (isCutOffFromAll()) {
          found.add(node);
        }
        return found;
      },
      stop: probes.stop,
    };
  },
};
