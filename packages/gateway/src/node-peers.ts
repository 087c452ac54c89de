import type { Clock } from '@zinniagrade/clock';
import { chooseByRendezvous } from '@zinniagrade/membership';
import { PeerUse, type EngineLoad, type UpstreamUse } from '@zinniagrade/serving';
import type { Log } from './log.js';
import { NodeLinks } from './node-links.js';
import type { NodeMessage, RelayedItem } from './node-message.js';
import type { StoreMirror } from './store-mirror.js';
import { UseAnnouncements } from './use-announcements.js';
import type { View } from './view.js';

export interface NodePeersOptions {
  readonly node: string;
  /** Address for other nodes, as IP:PORT. */
  readonly address: string;
  readonly mirror: () => StoreMirror;
  /** Called with a load that another node has read, and when it was read. */
  readonly onLoad: (upstream: string, load: EngineLoad, readAtMs: number) => void;
}

/** What the nodes share without the store: use of upstreams, engine loads, and the store's state. */
export interface NodePeers {
  /** Opens the links, once the secret of the nodes is known. */
  readonly open: (secret: string) => void;
  readonly useChanged: () => void;
  readonly peerUse: (upstream: string) => UpstreamUse;
  readonly shareLoad: (upstream: string, load: EngineLoad) => void;
  /** How long this node waits for others to act first on what all learn at once. */
  readonly turnMs: () => number;
  /** Whether this node is the one that reads the load of an upstream. */
  readonly readsLoadOf: (upstream: string) => boolean;
  /** Asks the other nodes for what they know of the store. */
  readonly pull: () => void;
  readonly connected: () => readonly string[];
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

export const NodePeers = {
  create: (clock: Clock, log: Log, view: View, options: NodePeersOptions): NodePeers => {
    const peerUse = PeerUse.create();
    let links: NodeLinks | undefined;
    let opening = false;
    let closed = false;

    const answerPull = (node: string, after: number): void => {
      const mirror = options.mirror();
      const revision = mirror.revision();
      if (revision <= after) {
        return;
      }
      const parts = partsOf(mirror.changesAfter(after));
      for (const [index, items] of parts.entries()) {
        // Only the last part says that all changes up to the revision were sent.
        const upTo = index === parts.length - 1 ? revision : 0;
        links?.send(node, { kind: 'changes', items, revision: upTo });
      }
    };

    const checkBehind = (node: string, revision: number): void => {
      if (options.mirror().revision() >= revision) {
        return;
      }
      clock.after(behindMs, () => {
        const known = options.mirror().revision();
        if (known < revision) {
          links?.send(node, { kind: 'pull', after: known });
        }
      });
    };

    const onMessage = (node: string, message: NodeMessage): void => {
      switch (message.kind) {
        case 'use':
          peerUse.update(node, message.uses, clock.monotonicMs());
          checkBehind(node, message.revision);
          return;
        case 'load':
          options.onLoad(message.upstream, message.load, clock.monotonicMs() - message.ageMs);
          return;
        case 'pull':
          answerPull(node, message.after);
          return;
        case 'changes':
          options.mirror().takeOver(message.items, message.revision);
      }
    };

    const otherNodes = function* () {
      for (const entry of view.nodes.values()) {
        if (entry.node !== options.node) {
          yield entry;
        }
      }
    };

    const announcements = UseAnnouncements.create(clock, view.fleet, (uses) => {
      links?.broadcast({ kind: 'use', uses, revision: options.mirror().revision() });
    });

    const open = async (secret: string): Promise<void> => {
      const created = await NodeLinks.create(clock, log, {
        node: options.node,
        address: options.address,
        secret,
        peers: otherNodes,
        onMessage,
        onLost: (node) => {
          peerUse.forget(node);
        },
      });
      if (closed) {
        created.close();
        return;
      }
      links = created;
    };

    const connected = (): readonly string[] => links?.connected() ?? [];

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
      useChanged: announcements.changed,
      peerUse: (upstream) => peerUse.at(upstream, clock.monotonicMs()),
      shareLoad: (upstream, load) => {
        links?.broadcast({ kind: 'load', upstream, ageMs: 0, load });
      },
      turnMs: () => {
        const before = connected().filter((node) => node < options.node).length;
        return (before % turns) * turnLengthMs;
      },
      readsLoadOf: (upstream) =>
        chooseByRendezvous(upstream, [options.node, ...connected()])[0] === options.node,
      pull: () => {
        links?.broadcast({ kind: 'pull', after: options.mirror().revision() });
      },
      connected,
      close: () => {
        closed = true;
        announcements.stop();
        links?.close();
      },
    };
  },
};
