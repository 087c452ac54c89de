import type { Clock } from '@zinniagrade/clock';
import { chooseByRendezvous } from '@zinniagrade/membership';
import {
  followsStore,
  ownUse,
  PeerUse,
  Topology,
  type EngineLoad,
  type TopologyNode,
  type RolloutReport,
  type UpstreamUse,
} from '@zinniagrade/serving';
import type { Log } from './log.js';
import { NodeExchange } from './node-exchange.js';
import { NodeLinks } from './node-links.js';
import type { NodeMessage, RelayedItem } from './node-message.js';
import type { StoreMirror } from './store-mirror.js';
import type { NodeEntry, View } from './view.js';

export interface NodePeersOptions {
  readonly place: TopologyNode;
  /** Address for other nodes, as IP:PORT. */
  readonly address: string;
  readonly mirror: () => StoreMirror;
  /** Called with a load that another node has read, and when it was read. */
  readonly onLoad: (upstream: string, load: EngineLoad, readAtMs: number) => void;
  readonly onReport: (node: string, service: string, report: RolloutReport) => void;
}

/** What the nodes share without the store: use of upstreams, engine loads, and the store's state. */
export interface NodePeers {
  /** Opens the links, once the secret of the nodes is known. */
  readonly open: (secret: string) => void;
  readonly useChanged: () => void;
  readonly peerUse: (upstream: string) => UpstreamUse;
  readonly shareLoad: (upstream: string, load: EngineLoad) => void;
  readonly shareReport: (service: string, report: RolloutReport) => void;
  /** How long this node waits for others to act first on what all learn at once. */
  readonly turnMs: () => number;
  /** Whether this node is the one that reads the load of an upstream. */
  readonly readsLoadOf: (upstream: string, dataCentre: string) => boolean;
  /** Whether this node follows the store itself, or learns of changes from nodes that do. */
  readonly followsStore: () => boolean;
  /** Asks the other nodes for what they know of the store. */
  readonly pull: () => void;
  /** Passes changes in the store on to nodes that don't follow it. */
  readonly pushChanges: (items: readonly RelayedItem[], revision: number) => void;
  /** Other nodes that are heard of. */
  readonly alive: () => ReadonlySet<string>;
  readonly close: () => void;
}

/** A peer that knows more of the store for this long shows that this node's watch is behind. */
const behindMs = 250;
/** Nodes act in this many turns; with more nodes, few of one turn have streams at the same engine. */
const turns = 8;
/** A node's announcement has reached the others within this time. */
const turnLengthMs = 9;
/** Frames are bounded, so changes go out in parts of about this size. */
const maxPartBytes = 128 * 1024;
/** Changes within this time go out together; relays wait longer, as they have more to say. */
const gatherMs = 4;
const relayGatherMs = 20;
/** Also shows the other nodes that this one lives. */
const heartbeatMs = 500;

const partsOf = (items: readonly RelayedItem[]): readonly (readonly RelayedItem[])[] => {
  const parts: RelayedItem[][] = [];
  let part: RelayedItem[] = [];
  let bytes = 0;
  for (const item of items) {
    const size = item.key.length + (item.value?.length ?? 0);
    if (bytes + size > maxPartBytes && part.length > 0) {
      parts.push(part);
      part = [];
      bytes = 0;
    }
    part.push(item);
    bytes += size;
  }
  parts.push(part);
  return parts;
};

const placeOf = ({ node, dataCentre, capacity }: NodeEntry): TopologyNode => ({
  node,
  dataCentre,
  capacity,
});

export const NodePeers = {
  create: (clock: Clock, log: Log, view: View, options: NodePeersOptions): NodePeers => {
    const { place } = options;
    const peerUse = PeerUse.create();
    let topology = Topology.create(place, []);
    let links: NodeLinks | undefined;
    let opening = false;
    let closed = false;
    let scheduled = false;

    const otherEntries = function* () {
      for (const entry of view.nodes.values()) {
        if (entry.node !== place.node) {
          yield entry;
        }
      }
    };

    view.onChange((change) => {
      if (change.kind === 'node') {
        const staying = [...otherEntries()].filter(({ leaving }) => !leaving);
        topology = Topology.create(place, staying.map(placeOf));
      }
    });

    const ownUses = (): readonly UpstreamUse[] => {
      const uses: UpstreamUse[] = [];
      for (const member of view.fleet.members.values()) {
        if (member.ownRuns.size > 0) {
          uses.push(ownUse(member));
        }
      }
      return uses;
    };

    const linked = (): readonly string[] => links?.connected() ?? [];

    const exchange = NodeExchange.create({
      node: place.node,
      dataCentre: place.dataCentre,
      incarnation: Date.now(),
      nowMs: clock.monotonicMs,
      topology: () => topology,
      linked,
      send: (nodes, message) => links?.send(nodes, message),
      ownUses,
      storeAccess: () => options.mirror().access(),
      revision: () => options.mirror().revision(),
      onState: ({ node, uses }) => {
        peerUse.update(node, uses);
      },
      onLoad: options.onLoad,
      onReport: options.onReport,
      onGone: peerUse.forget,
    });

    const isRelay = (): boolean => !topology.isMesh && topology.relays.includes(place.node);

    const schedule = (): void => {
      if (scheduled || !exchange.hasNews()) {
        return;
      }
      scheduled = true;
      clock.after(isRelay() ? relayGatherMs : gatherMs, () => {
        scheduled = false;
        exchange.flush();
      });
    };
    const stopHeartbeat = clock.every(heartbeatMs, exchange.heartbeat);

    const sendChanges = (
      nodes: readonly string[],
      items: readonly RelayedItem[],
      revision: number,
    ): void => {
      const parts = partsOf(items);
      for (const [index, part] of parts.entries()) {
        // Only the last part says that all changes up to the revision were sent.
        const upTo = index === parts.length - 1 ? revision : 0;
        links?.send(nodes, { kind: 'changes', items: part, revision: upTo });
      }
    };

    const answerPull = (node: string, after: number): void => {
      const mirror = options.mirror();
      const revision = mirror.revision();
      if (revision > after) {
        sendChanges([node], mirror.changesAfter(after), revision);
      }
    };

    const checkBehind = (node: string, revision: number): void => {
      if (options.mirror().revision() >= revision) {
        return;
      }
      clock.after(behindMs, () => {
        const known = options.mirror().revision();
        if (known < revision) {
          links?.send([node], { kind: 'pull', after: known });
        }
      });
    };

    const takeChanges = (from: string, items: readonly RelayedItem[], revision: number): void => {
      const fresh = options.mirror().takeOver(items, revision);
      if (fresh.length > 0 && isRelay()) {
        const others = linked().filter((node) => node !== from);
        sendChanges(others, fresh, revision);
      }
    };

    const onMessage = (node: string, message: NodeMessage): void => {
      switch (message.kind) {
        case 'state':
          exchange.receive(node, message);
          checkBehind(node, message.revision);
          if (isRelay()) {
            schedule();
          }
          return;
        case 'pull':
          answerPull(node, message.after);
          return;
        case 'changes':
          takeChanges(node, message.items, message.revision);
      }
    };

    const open = async (secret: string): Promise<void> => {
      const created = await NodeLinks.create(clock, log, {
        node: place.node,
        address: options.address,
        secret,
        peers: function* () {
          for (const entry of otherEntries()) {
            if (topology.neighbours.has(entry.node)) {
              yield entry;
            }
          }
        },
        onMessage,
        onOpen: () => {
          exchange.onLinkOpen();
          schedule();
        },
        onLost: exchange.onLinkLost,
      });
      if (closed) {
        created.close();
        return;
      }
      links = created;
    };

    const isFollower = (): boolean => {
      const states = exchange.statesOf();
      let otherFollowers = 0;
      for (const node of exchange.alive()) {
        otherFollowers += states.get(node)?.store === 'watching' ? 1 : 0;
      }
      return followsStore(topology, place.node, otherFollowers);
    };

    return {
      open: (secret) => {
        if (opening) {
          return;
        }
        opening = true;
        open(secret).catch((error: unknown) => {
          opening = false;
          log.event('node links not opened', { reason: String(error) });
        });
      },
      useChanged: () => {
        exchange.changed();
        schedule();
      },
      peerUse: peerUse.totalFor,
      shareLoad: (upstream, load) => {
        exchange.shareLoad(upstream, load);
        schedule();
      },
      shareReport: (service, report) => {
        exchange.shareReport(service, report);
        schedule();
      },
      turnMs: () => {
        let before = 0;
        for (const node of exchange.alive()) {
          before += node < place.node ? 1 : 0;
        }
        return (before % turns) * turnLengthMs;
      },
      readsLoadOf: (upstream, dataCentre) => {
        const heard = exchange.alive();
        const isAlive = (node: string): boolean => node === place.node || heard.has(node);
        const near = topology.relaysOf(dataCentre).filter(isAlive);
        const readers = near.length > 0 ? near : topology.relays.filter(isAlive);
        return chooseByRendezvous(upstream, readers)[0] === place.node;
      },
      followsStore: isFollower,
      pull: () => {
        links?.send(linked(), { kind: 'pull', after: options.mirror().revision() });
      },
      pushChanges: (items, revision) => {
        if (items.length > 0) {
          sendChanges(linked(), items, revision);
        }
      },
      alive: exchange.alive,
      close: () => {
        closed = true;
        stopHeartbeat();
        links?.close();
      },
    };
  },
};
