import type { Clock } from '@zinniagrade/clock';
import type { NodeLink } from '@zinniagrade/node-link';
import type { CallAnswer, CallForward, Milliseconds, NodeId } from '@zinniagrade/types';

/** Equal to the timeout for the answer of an upstream. */
const answerTimeoutMs: Milliseconds = 30_000;
const connectTimeoutMs: Milliseconds = 2000;
/** A link is kept open for this long after the last call over it. */
const linkIdleTimeoutMs: Milliseconds = 60_000;
const maxWaitingCalls = 4096;

type Outcome = CallAnswer['outcome'];

/** Forwards calls to other nodes and tracks those that wait for an answer. */
export interface CallForwards {
  readonly forward: (
    node: NodeId,
    call: Omit<CallForward, 'kind' | 'correlationId'>,
  ) => Promise<Outcome | undefined>;
  readonly onLinkUp: (node: NodeId) => void;
  readonly onAnswer: (from: NodeId, answer: CallAnswer) => void;
  /** Ends the calls to a process that is gone, with an unknown outcome. */
  readonly onProcessGone: (node: NodeId) => void;
  /** Nodes to which a link is wanted for forwarded calls. */
  readonly wantedNodes: () => readonly NodeId[];
}

interface WaitingCall {
  readonly node: NodeId;
  readonly message: CallForward;
  sent: boolean;
  readonly end: (outcome: Outcome | undefined) => void;
}

export const CallForwards = {
  create: (
    link: Pick<NodeLink, 'send' | 'isOpen'>,
    clock: Clock,
    nextCorrelationId: () => string,
    onWantedNodesChange: () => void,
  ): CallForwards => {
    const waiting = new Map<string, WaitingCall>();
    const lastCallAt = new Map<NodeId, Milliseconds>();

    /** Sends a call at most once, as a second message could run it twice. */
    const trySend = (call: WaitingCall): void => {
      call.sent ||= link.isOpen(call.node) && link.send(call.node, call.message);
    };

    return {
      forward: (node, call) =>
        new Promise((resolve) => {
          if (waiting.size >= maxWaitingCalls) {
            resolve(undefined);
            return;
          }
          const correlationId = nextCorrelationId();
          const cancels = [
            clock.after(answerTimeoutMs, () => {
              entry.end(undefined);
            }),
            clock.after(connectTimeoutMs, () => {
              if (!entry.sent) {
                entry.end(undefined);
              }
            }),
          ];
          const entry: WaitingCall = {
            node,
            message: { kind: 'call-forward', correlationId, ...call },
            sent: false,
            end: (outcome) => {
              for (const cancel of cancels) {
                cancel();
              }
              waiting.delete(correlationId);
              resolve(outcome);
            },
          };
          waiting.set(correlationId, entry);
          lastCallAt.set(node, clock.monotonicMs());
          onWantedNodesChange();
          trySend(entry);
        }),
      onLinkUp: (node) => {
        for (const call of waiting.values()) {
          if (call.node === node) {
            trySend(call);
          }
        }
      },
      onAnswer: (from, { correlationId, outcome }) => {
        const call = waiting.get(correlationId);
        // Only the node to which the call was forwarded may answer it.
        if (call?.node === from) {
          call.end(outcome);
        }
      },
      onProcessGone: (node) => {
        for (const call of [...waiting.values()]) {
          if (call.node === node) {
            call.end(undefined);
          }
        }
      },
      wantedNodes: () => {
        const now = clock.monotonicMs();
        for (const [node, at] of lastCallAt) {
          if (now - at > linkIdleTimeoutMs) {
            lastCallAt.delete(node);
          }
        }
        return [...lastCallAt.keys()];
      },
    };
  },
};
