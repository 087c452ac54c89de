import type { Clock, Random } from '@zinniagrade/clock';
import type { Log } from './log.js';
import type { ChangeSet, NodeMessage } from './node-message.js';
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
 * node that finds itself behind pulls what it is missing, or reads it from the store if nobody sends
 * it.
 */
export interface ChangeRelay {
  /** Requests store changes from the connected nodes. */
  readonly requestChanges: () => void;
  /** Sends store changes to connected nodes. */
  readonly pushChanges: (changes: ChangeSet) => void;
  /** Sends a node the changes after a revision; sends nothing if there are none. */
  readonly answerPull: (node: string, after: number) => void;
  /** Requests changes from a node whose revision stays ahead of this node's. */
  readonly pullIfBehind: (node: string, revision: number) => void;
  /** Applies changes from another node; a relay forwards those that were new. */
  readonly receiveChanges: (from: string, changes: ChangeSet) => void;
}

/**
 * If a peer's store revision stays ahead for this long, this node's watch is behind and it requests
 * changes.
 */
const pullDelayMs = 250;
/** A node that doesn't learn of a revision in this time reads the store itself. */
const maxBehindMs = 800;
/** Nodes that fall behind together read the store one after the other. */
const maxReadDelayMs = 400;

export const ChangeRelay = {
  create: (clock: Clock, random: Random, log: Log, options: ChangeRelayOptions): ChangeRelay => {
    const { mirror, linkedNodes, send, isRelay } = options;
    const pendingPulls = new Set<string>();
    let checkScheduled = false;

    const pull = (node: string, revision: number): void => {
      pendingPulls.delete(node);
      const known = mirror().revision();
      if (known < revision) {
        send([node], { kind: 'pull', after: known });
      }
    };

    const readIfBehind = (revision: number): void => {
      checkScheduled = false;
      const known = mirror().revision();
      if (known < revision) {
        log.event('store changes missing', { known, revision });
        mirror().catchUp();
      }
    };

    const pullIfBehind = (node: string, revision: number): void => {
      if (mirror().revision() >= revision) {
        return;
      }
      if (!pendingPulls.has(node)) {
        pendingPulls.add(node);
        clock.after(pullDelayMs, () => {
          pull(node, revision);
        });
      }
      if (!checkScheduled) {
        checkScheduled = true;
        clock.after(maxBehindMs + random() * maxReadDelayMs, () => {
          readIfBehind(revision);
        });
      }
    };

    return {
      requestChanges: () => {
        const nodes = linkedNodes();
        // The mirror itself requests changes, and may do so before its creation has returned.
        if (nodes.length > 0) {
          send(nodes, { kind: 'pull', after: mirror().revision() });
        }
      },
      pushChanges: (changes) => {
        send(linkedNodes(), { kind: 'changes', ...changes });
      },
      answerPull: (node, after) => {
        const changes = mirror().changesAfter(after);
        if (changes !== undefined && changes.revision > after) {
          send([node], { kind: 'changes', ...changes });
        }
      },
      pullIfBehind,
      receiveChanges: (from, changes) => {
        const { isNew, hasGap } = mirror().mergeFromNode(changes);
        if (hasGap) {
          pullIfBehind(from, changes.revision);
        }
        if (isNew && isRelay()) {
          const others = linkedNodes().filter((node) => node !== from);
          send(others, { kind: 'changes', ...changes });
        }
      },
    };
  },
};
