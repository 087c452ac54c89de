import { Failure } from '@zinniagrade/errors';
import type { Call, ServingContext } from './call.js';
import type { NodeEntry } from './cluster-state.js';
import { createLeavingFailure } from './leaving-failure.js';
import { outcomeOfResponse, type NodeResponse, type PassedOnOutcome } from './node-relay.js';
import { beginStreamResponse, forwardResponse } from './responses.js';

/** Retry delay where nodes that refused stated none. */
const refusalRetryAfterMs = 250;

/**
 * Passes a stream that has not run on to another node, if this node reaches no upstream of its
 * service, and relays the response as it arrives. Returns false if this node has to serve it, or to
 * refuse it as it shuts down. To `unreached` upstreams no connection opened for it.
 */
export const passOnStream = (context: ServingContext, call: Call, unreached = 0): boolean => {
  const { log, relay, unread } = context;
  const { request, response } = call;
  const tried = new Set<string>();

  const endUnread = (): void => {
    log.decision('passed on', {
      request: request.id,
      outcome: 'caller does not read',
      bytes: response.writableLength,
    });
    call.fail(Failure.create('caller-too-slow', 'the caller does not read its stream'));
  };

  const relayBytes = (bytes: Buffer): void => {
    response.write(bytes);
    if (response.writableLength > context.limits.maxUnsentBytes) {
      endUnread();
    } else {
      unread.recordWrite(response, endUnread);
    }
  };

  const sendResponse = (received: NodeResponse): void => {
    forwardResponse(unread, response, received.head, received.body);
    call.finish(outcomeOfResponse(received));
  };

  const onOutcome = (outcome: PassedOnOutcome): void => {
    switch (outcome.kind) {
      case 'streamed':
        response.end();
        call.finish('complete');
        return;
      case 'answered':
        sendResponse(outcome.response);
        return;
      case 'refused':
        passOnAgain(outcome.response);
        return;
      case 'not-sent':
        passOnAgain();
        return;
      case 'lost':
        call.fail(
          Failure.create(
            response.headersSent ? 'generation-lost' : 'outcome-unknown',
            outcome.reason,
          ),
        );
    }
  };

  const sendTo = (node: NodeEntry): void => {
    tried.add(node.node);
    relay.send(call, node, 0, onOutcome, {
      accepts: (head) => {
        const isStream = head.status === 200 && head.sealed && head.matchesRequest;
        if (isStream) {
          beginStreamResponse(response, head);
        }
        return isStream;
      },
      onData: relayBytes,
    });
  };

  const passOnAgain = (refusal?: NodeResponse): void => {
    if (!context.canFinish(call)) {
      // This node has begun to shut down since it passed the stream on.
      call.fail(createLeavingFailure());
      return;
    }
    const direction = relay.direct(call, tried, unreached);
    if (direction.kind === 'pass-on') {
      sendTo(direction.node);
      return;
    }
    if (refusal !== undefined) {
      sendResponse(refusal);
      return;
    }
    const detail = `no node that reaches ${call.service.name} accepted the stream`;
    call.fail(Failure.create('no-upstream', detail, refusalRetryAfterMs));
  };

  if (!context.canFinish(call)) {
    return false;
  }
  const direction = relay.direct(call, tried, unreached);
  switch (direction.kind) {
    case 'serve-here':
      return false;
    case 'refuse':
      call.fail(direction.failure);
      return true;
    case 'pass-on':
      sendTo(direction.node);
  }
  call.deadline.onReached(() => {
    call.fail(
      Failure.create('upstream-timeout', 'the stream did not complete before its deadline'),
    );
  });
  return true;
};
