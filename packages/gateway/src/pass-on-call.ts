import type { Failure } from '@zinniagrade/errors';
import type { Call, ServingContext } from './call.js';
import type { NodeResponse } from './node-relay.js';

/** A call that may be passed on to other nodes. */
export interface CallRelay {
  /**
   * Passes the call on if this node reaches no upstream of its service, or reports that no node is
   * left. Returns false if this node has to send it to an upstream. Up to `possibleRuns` upstreams
   * may have run the call before.
   */
  readonly passOn: (possibleRuns: number) => boolean;
  /** Whether another node reaches the service and may get the call, and this node does not. */
  readonly canPassOn: () => boolean;
  readonly isInFlight: () => boolean;
  readonly wasPassedOn: () => boolean;
  /** Records that no connection to an upstream opened for the call. */
  readonly recordUnreached: () => void;
  /** The last refusal of another node. */
  readonly refusal: () => NodeResponse | undefined;
}

/** Callbacks for what became of the call at another node. */
export interface CallRelayHandlers {
  readonly onAnswered: (response: NodeResponse) => void;
  /** The call has not run there. */
  readonly onNotRun: () => void;
  /** The call may have run there. */
  readonly onLost: () => void;
  readonly onNoneLeft: (failure: Failure) => void;
}

export const CallRelay = {
  create: ({ relay }: ServingContext, call: Call, handlers: CallRelayHandlers): CallRelay => {
    const tried = new Set<string>();
    let inFlight = 0;
    let unreached = 0;
    let refusal: NodeResponse | undefined;

    return {
      passOn: (possibleRuns) => {
        const direction = relay.direct(call, tried, unreached);
        switch (direction.kind) {
          case 'serve-here':
            return false;
          case 'refuse':
            handlers.onNoneLeft(direction.failure);
            return true;
          case 'pass-on':
        }
        tried.add(direction.node.node);
        inFlight += 1;
        relay.send(call, direction.node, possibleRuns, (outcome) => {
          inFlight -= 1;
          switch (outcome.kind) {
            case 'answered':
              handlers.onAnswered(outcome.response);
              return;
            case 'refused':
              refusal = outcome.response ?? refusal;
              handlers.onNotRun();
              return;
            case 'not-sent':
              handlers.onNotRun();
              return;
            default:
              handlers.onLost();
          }
        });
        return true;
      },
      canPassOn: () => relay.direct(call, tried, unreached).kind === 'pass-on',
      isInFlight: () => inFlight > 0,
      wasPassedOn: () => tried.size > 0,
      recordUnreached: () => {
        unreached += 1;
      },
      refusal: () => refusal,
    };
  },
};
