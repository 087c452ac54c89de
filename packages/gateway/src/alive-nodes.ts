/** Nodes from which messages arrive, directly or via a relay. */
export interface AliveNodes {
  /** Replaces the list of nodes that a linked relay receives messages from. */
  readonly setListOf: (relay: string, nodes: readonly string[]) => void;
  /** Forgets the list of a relay, and all cached results, when links have changed. */
  readonly onLinkLost: (node: string) => void;
  readonly onLinkOpen: () => void;
  /** All other nodes that are alive. The same set is returned until something changes. */
  readonly current: () => ReadonlySet<string>;
}

export const AliveNodes = {
  create: (self: string, linkedNodes: () => readonly string[]): AliveNodes => {
    const lists = new Map<string, readonly string[]>();
    let cached: ReadonlySet<string> | undefined;
    const collect = (): ReadonlySet<string> => {
      const nodes = new Set(linkedNodes());
      for (const list of lists.values()) {
        for (const node of list) {
          nodes.add(node);
        }
      }
      nodes.delete(self);
      return nodes;
    };
    return {
      setListOf: (relay, nodes) => {
        lists.set(relay, nodes);
        cached = undefined;
      },
      onLinkLost: (node) => {
        lists.delete(node);
        cached = undefined;
      },
      onLinkOpen: () => {
        cached = undefined;
      },
      current: () => (cached ??= collect()),
    };
  },
};
