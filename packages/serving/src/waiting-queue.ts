import type { UrgentRoom } from './peer-demand.js';

/** A generation for which no engine has had room so far. */
export interface WaitingRequest {
  /** Identifies one attempt to start; unique within the queue. */
  readonly id: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether the caller comes back after a refusal; it doesn't come a third time. */
  readonly isReturn: boolean;
  /** Client account; empty for anonymous callers. */
  readonly account: string;
  /** Expected memory at the end of the generation. */
  readonly tokens: number;
  readonly deadlineAtMs: number;
}

/** Room that a request has to leave to those before it in the order. */
export interface RoomAhead {
  readonly tokens: number;
  /** Engines whose free memory is saved up for requests before it. */
  readonly savedEngines: ReadonlySet<string>;
  /** Kept free for urgent requests that are about to arrive. */
  readonly urgentRoom: UrgentRoom;
}

/**
 * Result of an attempt: the request has left the queue, or it waits. One that fits into the free
 * memory of all engines together, but of no single engine, waits for the engine `savedEngine`.
 */
export type WaitingAttempt =
  | { readonly kind: 'left'; readonly started: boolean }
  | { readonly kind: 'waits'; readonly savedEngine?: string };

/**
 * The generations of one service that wait at a node, in the order in which they get free memory.
 *
 * This is for bursts of long generations at twice the rate that engines carry, with short urgent
 * ones between: whoever looked for room at the right moment got it, so that urgent and returning
 * requests were refused as often as others.
 */
export interface WaitingQueue {
  /** Returns the last request in order if the queue is too long with this one; it has been removed. */
  readonly add: (request: WaitingRequest) => WaitingRequest | undefined;
  readonly remove: (id: string) => void;
  readonly requests: () => Iterable<WaitingRequest>;
  readonly length: () => number;
  /** Attempts to start the requests in order, until room is saved up for too many of them. */
  readonly serve: (attempt: (request: WaitingRequest, ahead: RoomAhead) => WaitingAttempt) => void;
}

/** Tokens that a client account has in flight, of all nodes as far as known. */
export type TokensOfAccount = (account: string) => number;

/** No requests are before this one. */
export const noRoomAhead: RoomAhead = {
  tokens: 0,
  savedEngines: new Set(),
  urgentRoom: { tokens: 0, tokensEach: 0, tokensPerMs: 0 },
};

/**
 * Each waiting request that doesn't fit costs a look at all engines. Beyond this number, room for a
 * later one is unlikely.
 */
const maxWaitingAttempts = 4;

/** Sorts requests by priority, then returns before new ones, accounts with few tokens, deadlines. */
export const compareWaiting = (
  a: WaitingRequest,
  b: WaitingRequest,
  tokensOf: TokensOfAccount,
): number =>
  a.priority - b.priority ||
  Number(b.isReturn) - Number(a.isReturn) ||
  (a.account === b.account ? 0 : tokensOf(a.account) - tokensOf(b.account)) ||
  a.deadlineAtMs - b.deadlineAtMs;

export const WaitingQueue = {
  create: (maxLength: number, tokensOf: TokensOfAccount): WaitingQueue => {
    const waiting = new Map<string, WaitingRequest>();

    /** The first, or the last, of these requests in the order. */
    const extreme = (
      requests: Iterable<WaitingRequest>,
      sign: 1 | -1,
    ): WaitingRequest | undefined => {
      let found: WaitingRequest | undefined;
      for (const request of requests) {
        if (found === undefined || sign * compareWaiting(request, found, tokensOf) < 0) {
          found = request;
        }
      }
      return found;
    };

    return {
      add: (request) => {
        waiting.set(request.id, request);
        if (waiting.size <= maxLength) {
          return undefined;
        }
        const last = extreme(waiting.values(), -1);
        if (last !== undefined) {
          waiting.delete(last.id);
        }
        return last;
      },
      remove: (id) => {
        waiting.delete(id);
      },
      requests: () => waiting.values(),
      length: () => waiting.size,
      serve: (attempt) => {
        const untried = new Map(waiting);
        const savedEngines = new Set<string>();
        let tokens = 0;
        let attempts = 0;
        while (attempts < maxWaitingAttempts) {
          // A start changes the tokens of its account, and with them the order.
          const request = extreme(untried.values(), 1);
          if (request === undefined) {
            return;
          }
          untried.delete(request.id);
          if (!waiting.has(request.id)) {
            continue;
          }
          const outcome = attempt(request, { ...noRoomAhead, tokens, savedEngines });
          if (outcome.kind === 'left') {
            waiting.delete(request.id);
            continue;
          }
          attempts += 1;
          if (outcome.savedEngine === undefined) {
            tokens += request.tokens;
          } else {
            savedEngines.add(outcome.savedEngine);
          }
        }
      },
    };
  },
};
