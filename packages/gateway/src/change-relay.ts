import type { Clock } from '@zinniagrade/clock';
import type { NodeMessage, RelayedChange } from './node-message.js';
import type { StoreMirror } from './store-mirror.js';

/** State of this node that a change relay depends on, and how it sends. */
export interface ChangeRelayOptions {
  readonly mirror: () => StoreMirror;
  /** Nodes with an open connection. */
  readonly linkedNodes: () => readonly string[];
  /** Sends one message to several nodes. */
  readonly send: (nodes: readonly string[], message: NodeMessage) => void;
  /** Whether this node forwards changes that it receives to its other neighbours. */
  readonly isRelay: () => boolean;
}

/**
 * Exchanges store changes between nodes. Nodes that watch the store push changes to the others; a
 * node that finds itself behind pulls what it is missing.
 */
export interface ChangeRelay {
  /** Requests store changes from the connected nodes. */
  readonly requestChanges: () => void;
  /** Sends store changes to connected nodes. */
  readonly pushChanges: (items: readonly RelayedChange[], revision: number) => void;
  /** Sends a node the changes after a revision; sends nothing if there are none. */
  readonly answerPull: (node: string, after: number) => void;
  /** Requests changes from a node whose revision stays ahead of this node's. */
  readonly pullIfBehind: (node: string, revision: number) => void;
  /** Applies changes from another node; a relay forwards those that were new. */
  readonly receiveChanges: (
    from: string,
    items: readonly RelayedChange[],
    revision: number,
  ) => void;
}

/**
 * If a peer's store revision stays ahead for this long, this node's watch is behind and it requests
 * changes.
 */
const pullDelayMs = 250;
export const ChangeRelay = {
  create: (clock: Clock, options: ChangeRelayOptions): ChangeRelay => {
    const { mirror, linkedNodes, send, isRelay } = options;

    const sendChanges = (
      nodes: readonly string[],
      items: readonly RelayedChange[],
      revision: number,
    ): void => {
      send(nodes, { kind: 'changes', items, revision });
    };

    return {
      requestChanges: () => {
        const nodes = linkedNodes();
        // The mirror itself requests changes, and may do so before its creation has returned.
        if (nodes.length > 0) {
          send(nodes, { kind: 'pull', after: mirror().revision() });
        }
      },
      pushChanges: (items, revision) => {
        if (items.length > 0) {
          sendChanges(linkedNodes(), items, revision);
        }
      },
      answerPull: (node, after) => {
        const revision = mirror().revision();
        if (revision > after) {
          sendChanges([node], mirror().changesAfter(after), revision);
        }
      },
      pullIfBehind: (node, revision) => {
        if (mirror().revision() >= revision) {
          return;
        }
        clock.after(pullDelayMs, () => {
          const known = mirror().revision();
          if (known < revision) {
            send([node], { kind: 'pull', after: known });
          }
        });
      },
      receiveChanges: (from, items, revision) => {
        const applied = mirror().mergeFromNode(items, revision);
        if (applied.length > 0 && isRelay()) {
          const others = linkedNodes().filter((node) => node !== from);
          sendChanges(others, applied, revision);
        }
      },
    };
  },
};
