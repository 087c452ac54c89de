import { Failure } from '@zinniagrade/errors';
import { areAllUnreached } from '@zinniagrade/serving';
import { BoundedBody } from './bounded-body.js';
import type { Call, ServingContext } from './call.js';
import type { NodeEntry } from './cluster-state.js';
import type { NodeClient } from './node-client.js';
import type { ExchangeFailure, ResponseHead } from './upstream-client.js';

/** Where a request goes that this node would send to an upstream. */
export type Direction =
  | { readonly kind: 'serve-here' }
  | { readonly kind: 'pass-on'; readonly node: NodeEntry }
  /** No node is left that may get it. */
  | { readonly kind: 'refuse'; readonly failure: Failure };

/** Response of another node, to be sent to the caller as it is. */
export interface NodeResponse {
  readonly head: ResponseHead;
  readonly body: Buffer;
}

/** What became of a request that was passed on to another node. */
export type PassedOnOutcome =
  | { readonly kind: 'answered'; readonly response: NodeResponse }
  /** It has not run and will not run; `response` is for the caller, unless it misleads. */
  | { readonly kind: 'refused'; readonly response?: NodeResponse }
  | { readonly kind: 'not-sent'; readonly reason: string }
  /** It may have run. */
  | { readonly kind: 'lost'; readonly reason: string }
  | { readonly kind: 'streamed' };

/** Receives a response that is not buffered. */
export interface ResponseStream {
  /** Whether the response is streamed; called once with its head. */
  readonly accepts: (head: ResponseHead) => boolean;
  readonly onData: (bytes: Buffer) => void;
}

/** Passes requests on to nodes that reach the service, while this node reaches none of its upstreams. */
export interface NodeRelay {
  /**
   * `tried` has the names of the nodes that got the request before, `unreached` the number of
   * upstreams to which no connection for this request opened.
   */
  readonly direct: (call: Call, tried: ReadonlySet<string>, unreached: number) => Direction;
  /**
   * Passes on a call that up to `possibleRuns` upstreams may have run. Calls `onOutcome` once, or
   * never if the call ends before, which closes the connection to the other node.
   */
  readonly send: (
    call: Call,
    node: NodeEntry,
    possibleRuns: number,
    onOutcome: (outcome: PassedOnOutcome) => void,
    stream?: ResponseStream,
  ) => void;
}

/**
 * Upstreams to which no connection opened, after which a request goes to another node although the
 * service isn't out of reach as a whole: kept connections may go on while new ones are refused.
 */
const maxUnreached = 2;
/** A second node gets a request only if it is certain, or harmless, that the first one ran it. */
const maxNodes = 2;
/** Retry delay for callers, who choose another node then. */
const refusalRetryAfterMs = 250;
const serviceUnavailable = 503;
const tooManyRequests = 429;

/** Errors of the node itself carry no seal. */
const classify = (head: ResponseHead, body: Buffer): PassedOnOutcome => {
  const { status, sealed, matchesRequest } = head;
  if (sealed && matchesRequest) {
    return { kind: 'answered', response: { head, body } };
  }
  if (!sealed && (status === serviceUnavailable || status === tooManyRequests)) {
    return { kind: 'refused', response: { head, body } };
  }
  if (!sealed && status >= 400 && status < 500) {
    // It knows another configuration: this node has found the route and the account.
    return { kind: 'refused' };
  }
  return !sealed && status >= 500
    ? { kind: 'answered', response: { head, body } }
    : { kind: 'lost', reason: 'the response of the node carries no seal or another id' };
};

/** Outcome of a call that ends with a response of another node. */
export const outcomeOfResponse = ({ head }: NodeResponse): string => {
  if (!head.sealed) {
    return 'node-error';
  }
  return head.status >= 500 ? 'upstream-error' : 'complete';
};

type RelayDependencies = Pick<
  ServingContext,
  'clock' | 'random' | 'log' | 'metrics' | 'limits' | 'responseMemory' | 'reach' | 'cluster'
>;

export const NodeRelay = {
  create: (
    { clock, random, log, metrics, limits, responseMemory, reach, cluster }: RelayDependencies,
    self: string,
    client: NodeClient,
  ): NodeRelay => {
    /** Requests that this node has passed on and whose response is not complete, by node. */
    const inFlight = new Map<string, number>();

    const addInFlight = ({ node }: NodeEntry, by: number): void => {
      const count = (inFlight.get(node) ?? 0) + by;
      if (count > 0) {
        inFlight.set(node, count);
      } else {
        inFlight.delete(node);
      }
    };

    const leastLoaded = (nodes: readonly NodeEntry[]): NodeEntry | undefined => {
      const counts = nodes.map(({ node }) => inFlight.get(node) ?? 0);
      const least = Math.min(...counts);
      const candidates = nodes.filter((_node, index) => counts[index] === least);
      return candidates[Math.floor(random() * candidates.length)];
    };

    const direct: NodeRelay['direct'] = ({ request, service }, tried, unreached) => {
      const isCutOff = reach.isCutOff(service.name);
      const members = cluster.fleet.ofService(service.name);
      const isUnreached =
        unreached >= maxUnreached || areAllUnreached(members, clock.monotonicMs());
      if (!isCutOff && !isUnreached) {
        return { kind: 'serve-here' };
      }
      const isPassedOn = request.passedOn !== undefined;
      const others = reach.nodesReaching(service.name).filter(({ node }) => !tried.has(node));
      const node = isPassedOn || tried.size >= maxNodes ? undefined : leastLoaded(others);
      if (node !== undefined) {
        return { kind: 'pass-on', node };
      }
      if (tried.size === 0 && !(isPassedOn && isCutOff)) {
        return { kind: 'serve-here' };
      }
      const detail = `this node reaches no upstream of ${service.name}`;
      return {
        kind: 'refuse',
        failure: Failure.create('no-upstream', detail, refusalRetryAfterMs),
      };
    };

    const send: NodeRelay['send'] = (call, node, possibleRuns, onOutcome, stream) => {
      const { request } = call;
      const body = BoundedBody.create(limits.maxResponseBytes, responseMemory);
      const remainingMs = call.callerDeadlineAtMs - clock.monotonicMs();
      let head: ResponseHead | undefined;
      let isStreamed = false;
      let hasEnded = false;

      const logStep = (outcome: string, detail?: string): void => {
        log.decision('passed on', {
          request: request.id,
          to: node.node,
          outcome,
          detail,
          status: head?.status,
          inFlight: inFlight.get(node.node) ?? 0,
          remainingMs: Math.round(remainingMs),
          afterMs: Math.round(clock.monotonicMs() - call.arrivedAtMs),
        });
      };

      /** Returns false if the exchange had ended before. */
      const end = (outcome: string, detail?: string): boolean => {
        if (hasEnded) {
          return false;
        }
        hasEnded = true;
        addInFlight(node, -1);
        metrics.countDecision(`passed-on-${outcome}`);
        logStep(outcome, detail);
        return true;
      };

      const fail = ({ possiblySent, reason }: ExchangeFailure): void => {
        const kind = possiblySent ? 'lost' : 'not-sent';
        if (end(kind, reason)) {
          body.release();
          onOutcome({ kind, reason });
        }
      };

      addInFlight(node, 1);
      logStep('sent');
      const exchange = client.send(
        {
          address: node.callerAddress,
          request,
          body: call.body,
          remainingMs,
          mark: { by: self, possibleRuns },
        },
        {
          onHead: (received) => {
            head = received;
            isStreamed = !hasEnded && stream?.accepts(received) === true;
          },
          onData: (bytes) => {
            if (hasEnded) {
              return;
            }
            if (isStreamed) {
              stream?.onData(bytes);
            } else if (!body.add(bytes)) {
              exchange.abort();
              fail({ possiblySent: true, reason: 'the response exceeds the size limit' });
            }
          },
          onEnd: () => {
            const received = body.toBuffer();
            body.release();
            if (head === undefined || hasEnded) {
              return;
            }
            const outcome: PassedOnOutcome = isStreamed
              ? { kind: 'streamed' }
              : classify(head, received);
            if (end(outcome.kind)) {
              onOutcome(outcome);
            }
          },
          onFailure: fail,
        },
      );
      call.onEnded(() => {
        if (end('closed')) {
          body.release();
          exchange.abort();
        }
      });
    };

    return { direct, send };
  },
};
