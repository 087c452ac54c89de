import type { UrgentNeed } from './urgent-arrivals.js';
import { compareWaiting, type TokensOfAccount, type WaitingRequest } from './waiting-queue.js';

/** A request that waits at another node. */
export interface PeerWaiting extends WaitingRequest {
  /** When it has started or is refused, whatever its node announces. */
  readonly waitUntilMs: number;
}

/** Memory that less urgent requests have to leave free. */
export interface UrgentRoom {
  readonly tokens: number;
  /** The largest of the urgent requests, which needs this on a single engine. */
  readonly tokensEach: number;
  /** Rate at which urgent requests take what others free. */
  readonly tokensPerMs: number;
}

/**
 * What waits for one service at the other nodes, and what their urgent requests need.
 *
 * This is for many nodes that look for the same free memory: an urgent request at one of them got
 * none while less urgent ones at others did.
 */
export interface PeerDemand {
  /** Replaces the waiting requests of a node. */
  readonly update: (node: string, waiting: readonly PeerWaiting[]) => void;
  /** Replaces what the urgent arrivals of a node need. */
  readonly updateNeeds: (node: string, needs: readonly UrgentNeed[]) => void;
  /**
   * Takes the requests that a node has started since its last announcement out of its waiting ones:
   * its use of engines has grown by these tokens.
   */
  readonly recordStarts: (node: string, tokens: number) => void;
  readonly forget: (node: string) => void;
  /** Memory that requests of other nodes before this one need. */
  readonly tokensAhead: (
    request: WaitingRequest,
    tokensOf: TokensOfAccount,
    nowMs: number,
  ) => number;
  /** Whether requests wait at other nodes. */
  readonly isWaiting: (nowMs: number) => boolean;
  /** Memory that other nodes need for their requests more urgent than this priority. */
  readonly urgentRoom: (priority: number) => UrgentRoom;
}

/** Use is announced in sums, of which the hint of an output may be rounded. */
const startTolerance = 0.9;

export const PeerDemand = {
  create: (): PeerDemand => {
    const waitingByNode = new Map<string, readonly PeerWaiting[]>();
    const needsByNode = new Map<string, readonly UrgentNeed[]>();
    return {
      update: (node, waiting) => {
        if (waiting.length === 0) {
          waitingByNode.delete(node);
        } else {
          waitingByNode.set(node, waiting);
        }
      },
      updateNeeds: (node, needs) => {
        needsByNode.set(node, needs);
      },
      recordStarts: (node, tokens) => {
        const left: PeerWaiting[] = [];
        let startedTokens = tokens;
        for (const request of waitingByNode.get(node) ?? []) {
          if (startedTokens >= startTolerance * request.tokens) {
            startedTokens -= request.tokens;
          } else {
            left.push(request);
          }
        }
        if (left.length === 0) {
          waitingByNode.delete(node);
        } else {
          waitingByNode.set(node, left);
        }
      },
      forget: (node) => {
        waitingByNode.delete(node);
        needsByNode.delete(node);
      },
      tokensAhead: (request, tokensOf, nowMs) => {
        let tokens = 0;
        for (const waiting of waitingByNode.values()) {
          for (const other of waiting) {
            if (other.waitUntilMs > nowMs && compareWaiting(other, request, tokensOf) < 0) {
              tokens += other.tokens;
            }
          }
        }
        return tokens;
      },
      isWaiting: (nowMs) => {
        for (const waiting of waitingByNode.values()) {
          if (waiting.some(({ waitUntilMs }) => waitUntilMs > nowMs)) {
            return true;
          }
        }
        return false;
      },
      urgentRoom: (priority) => {
        let tokens = 0;
        let tokensEach = 0;
        let tokensPerMs = 0;
        for (const needs of needsByNode.values()) {
          for (const need of needs) {
            if (need.priority < priority) {
              tokens += need.tokens;
              tokensEach = Math.max(tokensEach, need.tokensEach);
              tokensPerMs += need.tokensPerMs;
            }
          }
        }
        return { tokens, tokensEach, tokensPerMs };
      },
    };
  },
};
