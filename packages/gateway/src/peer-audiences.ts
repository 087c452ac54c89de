import type { Topology } from '@zinniagrade/serving';

/** Nodes that get the same message from this node. */
export interface Audience {
  readonly nodes: readonly string[];
  /** Whether the state of a node is forwarded to them. */
  readonly wants: (node: string) => boolean;
  /** Nodes that the sender vouches for; undefined if it is not a relay. */
  readonly aliveList: () => readonly string[] | undefined;
}

export interface AudienceOptions {
  readonly node: string;
  readonly dataCentre: string;
  readonly topology: () => Topology;
  /** Nodes with an open connection. */
  readonly linkedNodes: () => readonly string[];
  /** Other nodes from which messages arrive, directly or via a relay. */
  readonly aliveNodes: () => ReadonlySet<string>;
}

/**
 * Returns a function that tells to whom this node sends at the moment. A relay forwards updates of
 * its own data centre to the other relays, and all updates to its own nodes. Any other node
 * announces only itself.
 */
export const createAudiences = (options: AudienceOptions): (() => readonly Audience[]) => {
  const isOwn = (node: string): boolean => node === options.node;
  const isInOwnDataCentre = (node: string): boolean =>
    isOwn(node) || options.topology().dataCentreOf(node) === options.dataCentre;

  /** The first reachable relay of a data centre. */
  const activeRelay = (dataCentre: string): string | undefined => {
    const linked = options.linkedNodes();
    return options
      .topology()
      .relaysOf(dataCentre)
      .find((relay) => isOwn(relay) || linked.includes(relay));
  };

  const activeRemoteRelays = (): readonly string[] => {
    const relays: string[] = [];
    for (const dataCentre of options.topology().dataCentres) {
      const relay = dataCentre === options.dataCentre ? undefined : activeRelay(dataCentre);
      if (relay !== undefined) {
        relays.push(relay);
      }
    }
    return relays;
  };

  const ownStateTo = (nodes: readonly string[]): readonly Audience[] => [
    { nodes, wants: isOwn, aliveList: () => undefined },
  ];

  return () => {
    if (options.topology().isMesh) {
      return ownStateTo(options.linkedNodes());
    }
    const relay = activeRelay(options.dataCentre);
    if (relay !== options.node) {
      return ownStateTo(relay === undefined ? [] : [relay]);
    }
    const localNodes = options.linkedNodes().filter(isInOwnDataCentre);
    return [
      {
        nodes: activeRemoteRelays(),
        wants: isInOwnDataCentre,
        aliveList: () => [options.node, ...localNodes],
      },
      {
        nodes: localNodes,
        wants: () => true,
        aliveList: () => [options.node, ...options.aliveNodes()],
      },
    ];
  };
};
