/** A registered node. */
export interface TopologyNode {
  readonly node: string;
  readonly dataCentre: string;
  /** Number of processor cores that it may use. */
  readonly capacity: number;
}

/**
 * Which nodes exchange messages directly. A small number of nodes forms a full mesh. With more
 * nodes, each data centre has relays: other nodes connect only to the relays of their own data
 * centre, and relays also to all other relays, so the message count of a node does not grow with
 * the number of nodes.
 */
export interface Topology {
  readonly isMesh: boolean;
  /** Nodes that this node keeps a connection to. */
  readonly neighbours: ReadonlySet<string>;
  /** Relays of a data centre: the first reachable one is active, the others are on standby. */
  readonly relaysOf: (dataCentre: string) => readonly string[];
  readonly dataCentres: readonly string[];
  readonly dataCentreOf: (node: string) => string | undefined;
  /**
   * The relays of all data centres, in the same order at every node: first one of each data centre,
   * then the second ones.
   */
  readonly relays: readonly string[];
}

/** Up to this many nodes, direct messages to all cost less than messages through relays. */
const maxMeshNodes = 16;
const relaysPerDataCentre = 2;

/** Relays of different data centres that watch the store on behalf of all nodes. */
const storeFollowers = 3;
/** With fewer other nodes watching the store, any node watches it. */
const minOtherStoreFollowers = 2;

/** What a node knows about who watches the store. */
export interface StoreFollowers {
  /** Whether another node is alive and has not lost the store. */
  readonly canFollow: (node: string) => boolean;
  /** Number of other nodes that are known to watch the store. */
  readonly watching: number;
}

/**
 * Whether a node watches the store itself, instead of learning about changes from others. Each
 * change answers every watch, and all calls together are limited and paid for, so with many nodes
 * only the first relays watch; the next ones replace those that are gone or have lost the store.
 *
 * In a full mesh all nodes watch: when the store stops answering half of the nodes, which they
 * notice only seconds later, a few watching nodes can all be affected.
 */
export const followsStore = (
  { isMesh, relays }: Topology,
  node: string,
  { canFollow, watching }: StoreFollowers,
): boolean => {
  if (isMesh || watching < minOtherStoreFollowers) {
    return true;
  }
  let preceding = 0;
  for (const relay of relays) {
    if (relay === node) {
      return true;
    }
    preceding += canFollow(relay) ? 1 : 0;
    if (preceding === storeFollowers) {
      return false;
    }
  }
  return false;
};

/** Orders relays by their rank in their data centre, then by the name of the data centre. */
const rankRelays = (relays: ReadonlyMap<string, readonly string[]>): readonly string[] => {
  const dataCentres = [...relays.keys()].sort();
  const ranked: string[] = [];
  for (let rank = 0; ; rank += 1) {
    const before = ranked.length;
    for (const dataCentre of dataCentres) {
      const relay = relays.get(dataCentre)?.[rank];
      if (relay !== undefined) {
        ranked.push(relay);
      }
    }
    if (ranked.length === before) {
      return ranked;
    }
  }
};

const largestFirst = (a: TopologyNode, b: TopologyNode): number =>
  b.capacity - a.capacity || (a.node < b.node ? -1 : 1);

export const Topology = {
  create: (own: TopologyNode, others: Iterable<TopologyNode>): Topology => {
    const members = new Map<string, TopologyNode>([[own.node, own]]);
    for (const member of others) {
      if (member.node !== own.node) {
        members.set(member.node, member);
      }
    }
    const isMesh = members.size <= maxMeshNodes;
    const byDataCentre = new Map<string, TopologyNode[]>();
    for (const member of members.values()) {
      const nodes = byDataCentre.get(member.dataCentre) ?? [];
      nodes.push(member);
      byDataCentre.set(member.dataCentre, nodes);
    }
    const relays = new Map<string, readonly string[]>();
    for (const [dataCentre, nodes] of byDataCentre) {
      const count = isMesh ? nodes.length : relaysPerDataCentre;
      relays.set(
        dataCentre,
        nodes
          .sort(largestFirst)
          .slice(0, count)
          .map(({ node }) => node),
      );
    }
    const allRelays = rankRelays(relays);
    const isRelay = allRelays.includes(own.node);
    const neighbours = new Set(isRelay ? allRelays : relays.get(own.dataCentre));
    if (isRelay) {
      for (const { node } of byDataCentre.get(own.dataCentre) ?? []) {
        neighbours.add(node);
      }
    }
    neighbours.delete(own.node);
    return {
      isMesh,
      neighbours,
      relaysOf: (dataCentre) => relays.get(dataCentre) ?? [],
      dataCentres: [...byDataCentre.keys()],
      dataCentreOf: (node) => members.get(node)?.dataCentre,
      relays: allRelays,
    };
  },
};
