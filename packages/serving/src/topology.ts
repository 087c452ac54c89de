/** A node as its registration describes it. */
export interface NodePlace {
  readonly node: string;
  readonly dataCentre: string;
  /** Processor cores that it may use. */
  readonly capacity: number;
}

/**
 * Which nodes exchange messages directly. Few nodes all speak with each other. With more, each data
 * centre has relays: other nodes speak only with the relays of their own, and relays with all relays,
 * so that the messages of a node don't grow with the number of nodes.
 */
export interface Topology {
  readonly isMesh: boolean;
  /** Nodes to keep a connection with. */
  readonly neighbours: ReadonlySet<string>;
  /** Relays of a data centre; the first one that is reached is in use, the others stand by. */
  readonly relaysOf: (dataCentre: string) => readonly string[];
  readonly dataCentres: readonly string[];
  readonly dataCentreOf: (node: string) => string | undefined;
  /** Nodes that may follow the store for all others. */
  readonly relays: readonly string[];
}

/** With this many nodes, messages to all cost less than a detour over relays. */
const maxMeshNodes = 16;
const relaysPerDataCentre = 2;

/** With fewer other nodes that follow the store, a node that is no relay does so itself. */
const minOtherFollowers = 2;

/**
 * Whether a node follows the store itself or learns of changes from relays, which all follow it. Load
 * pattern: the store turns half of the nodes away without an answer, which they notice only seconds
 * later; with a few chosen followers all of these can be among them, and nobody else learns a change.
 */
export const followsStore = (topology: Topology, node: string, otherFollowers: number): boolean =>
  topology.relays.includes(node) || otherFollowers < minOtherFollowers;

const largestFirst = (a: NodePlace, b: NodePlace): number =>
  b.capacity - a.capacity || (a.node < b.node ? -1 : 1);

export const Topology = {
  create: (own: NodePlace, others: Iterable<NodePlace>): Topology => {
    const places = new Map<string, NodePlace>([[own.node, own]]);
    for (const place of others) {
      if (place.node !== own.node) {
        places.set(place.node, place);
      }
    }
    const isMesh = places.size <= maxMeshNodes;
    const byDataCentre = new Map<string, NodePlace[]>();
    for (const place of places.values()) {
      const nodes = byDataCentre.get(place.dataCentre) ?? [];
      nodes.push(place);
      byDataCentre.set(place.dataCentre, nodes);
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
      dataCentreOf: (node) => places.get(node)?.dataCentre,
      relays: allRelays,
    };
  },
};
