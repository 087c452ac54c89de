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
  /** The relays of all data centres, which watch the store on behalf of the others. */
  readonly relays: readonly string[];
}

/** Up to this many nodes, direct messages to all cost less than messages through relays. */
const maxMeshNodes = 16;
const relaysPerDataCentre = 2;

/** With fewer other nodes watching the store, a node watches it even if it is not a relay. */
const minOtherStoreFollowers = 2;

/**
 * Whether a node watches the store itself, instead of learning about changes from the relays, which
 * all watch it.
 *
 * Fault: the store stops answering half of the nodes, which they notice only seconds later. With
 * just a few watching nodes, all of them can be affected, and then no node learns about changes.
 */
export const followsStore = (topology: Topology, node: string, otherFollowers: number): boolean =>
  topology.relays.includes(node) || otherFollowers < minOtherStoreFollowers;

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
    const allRelays = [...relays.values()].flat();
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
