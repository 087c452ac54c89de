import {
  EventSplitter,
  expectedUse,
  recordSend,
  recordFirstEvent,
  recordTokenTime,
  type FleetMember,
  type OwnRun,
  type StreamEvent,
} from '@zinniagrade/serving';
import { BoundedBody } from './bounded-body.js';
import type { Call, ServingContext } from './call.js';
import type { RequestTiming } from './rollout-evidence.js';
import { TokenTimes } from './token-times.js';
import type { ResponseHead, Exchange, ExchangeFailure, RunCopy } from './upstream-client.js';

export interface StreamSegmentOptions {
  readonly member: FleetMember;
  /** Engine that keeps a growing copy of the run. */
  readonly backup: FleetMember | undefined;
  /** Copy from which the run continues; undefined for a new run. */
  readonly copy: RunCopy | undefined;
  /** Id of the last event that the caller has; undefined for the start of the stream. */
  readonly afterEvent: string | undefined;
  /** Whether the stream may be complete without another event, as the caller may have all. */
  readonly mayBeEmpty: boolean;
  readonly tokensPerEvent: number;
  readonly promptTokens: number;
  /** Expected memory at the end of the stream, in tokens. */
  readonly expectedTokens: number;
}

export interface StreamSegmentHandlers {
  /** The engine has started a stream for the request. */
  readonly onAccepted: (head: ResponseHead) => void;
  readonly onEvent: (event: StreamEvent) => void;
  /** The engine has written for a while, or to the end: the prompt does it no harm. */
  readonly onWritten: () => void;
  /** The stream is complete; called with the line ends and spaces after its last event. */
  readonly onComplete: (rest: Buffer, head: ResponseHead) => void;
  /** A complete response other than a stream. */
  readonly onOtherResponse: (head: ResponseHead, body: Buffer) => void;
  readonly onFailure: (failure: ExchangeFailure) => void;
}

/** The part of a stream that one engine generates. */
export interface StreamSegment {
  readonly member: FleetMember;
  readonly backup: FleetMember | undefined;
  readonly sentAtMs: number;
  /** Whether this continues a run from a copy of its memory. */
  readonly isContinuation: boolean;
  readonly firstEventAtMs: () => number | undefined;
  /** Whether `onWritten` was called. */
  readonly hasWritten: () => boolean;
  /** Whether the engine has sent part of an event that it has not completed. */
  readonly endsInsideEvent: () => boolean;
  readonly isClosed: () => boolean;
  /** Closes the connection, which stops the run. No handler is called afterwards. */
  readonly close: () => void;
}

/** An engine that crashes on a prompt does so within a few events. */
const writtenAfterMs = 1000;
const writtenAfterEvents = 4;

const isStreamResponse = (head: ResponseHead): boolean =>
  head.status === 200 && head.matchesRequest && !head.notExecuted;

export const StreamSegment = {
  create: (
    context: ServingContext,
    call: Call,
    options: StreamSegmentOptions,
    handlers: StreamSegmentHandlers,
  ): StreamSegment => {
    const { clock } = context;
    const { member, backup, copy, afterEvent } = options;
    const runKey = call.request.id;
    const backupKey = `${runKey}#backup`;
    const sentAtMs = clock.monotonicMs();
    const promptTokens = copy === undefined ? options.promptTokens : 0;
    const queuedPromptTokens = expectedUse(member, context.peerUse).promptTokens + promptTokens;
    const { slowdown, placements } = context.recordOf(call.service.name);
    const tokenTimes = TokenTimes.create({
      tokensPerEvent: options.tokensPerEvent,
      batch: () => expectedUse(member, context.peerUse).requests,
      record: (msPerToken, batch, nowMs) => {
        if (context.sharesSpeeds) {
          recordTokenTime(member, msPerToken, batch, slowdown, nowMs);
        }
      },
    });
    const splitter = EventSplitter.create();
    const otherResponse = BoundedBody.create(
      context.limits.maxResponseBytes,
      context.responseMemory,
    );
    let firstEventAtMs: number | undefined;
    let lastEventAtMs = 0;
    let events = 0;
    let head: ResponseHead | undefined;
    let closed = false;
    let written = false;
    let otherBody: Buffer = Buffer.alloc(0);

    const run: OwnRun = {
      requestId: runKey,
      sentAtMs,
      promptTokens,
      expectedTokens: options.expectedTokens,
      hasBegun: false,
      isBackup: false,
    };
    recordSend(member, sentAtMs);
    placements.record(sentAtMs);
    member.ownRuns.set(runKey, run);
    backup?.ownRuns.set(backupKey, { ...run, promptTokens: 0, isBackup: true });
    context.onUseChanged();

    /** A continuation has no time to its first event, as its engine does not read the prompt. */
    const timing = (): RequestTiming => {
      if (firstEventAtMs === undefined) {
        return copy === undefined ? { waitedMs: clock.monotonicMs() - sentAtMs } : {};
      }
      const tokens = (events - 1) * Math.max(1, options.tokensPerEvent);
      return {
        ...(copy === undefined ? { firstEventMs: firstEventAtMs - sentAtMs } : {}),
        ...(tokens > 0 ? { betweenTokensMs: (lastEventAtMs - firstEventAtMs) / tokens } : {}),
        events,
      };
    };
    const stopFollowing = context.rollouts.follow({
      member,
      route: call.route.name,
      isContinuation: copy !== undefined,
      timing,
    });

    /** Returns false if the segment was already closed. */
    const release = (): boolean => {
      if (closed) {
        return false;
      }
      closed = true;
      otherBody = otherResponse.toBuffer();
      otherResponse.release();
      stopFollowing();
      member.ownRuns.delete(runKey);
      backup?.ownRuns.delete(backupKey);
      context.onUseChanged();
      return true;
    };

    const onFirstEvent = (): void => {
      firstEventAtMs = clock.monotonicMs();
      run.hasBegun = true;
      context.countBegun?.(call);
      if (copy === undefined) {
        recordFirstEvent(member, firstEventAtMs - sentAtMs, queuedPromptTokens, firstEventAtMs);
      }
      context.onUseChanged();
    };

    const markWritten = (): void => {
      if (!written && firstEventAtMs !== undefined) {
        written = true;
        handlers.onWritten();
      }
    };

    /** Closes the connection of a response that breaks a limit. */
    const fail = (reason: string): void => {
      if (release()) {
        exchange.abort();
        handlers.onFailure({ possiblySent: true, reason });
      }
    };

    const priority = context.cluster
      .routes()
      ?.enginePriority(call.service.name, call.route, call.account);
    const exchange: Exchange = context.client.send(
      {
        upstream: member.upstream,
        request: call.request,
        body: call.body,
        // The engine stops at this time, and a later version may raise the route's time-out.
        remainingMs: call.callerDeadlineAtMs - sentAtMs,
        ...(call.account === undefined ? {} : { account: call.account.name }),
        ...(priority === undefined ? {} : { priority }),
        ...(copy === undefined ? {} : { copy }),
        ...(afterEvent === undefined ? {} : { afterEvent }),
        ...(backup === undefined ? {} : { backup: backup.upstream }),
      },
      {
        onHead: (received) => {
          head = received;
          context.statements.onResponse(member, received, sentAtMs);
          if (!closed && isStreamResponse(received)) {
            handlers.onAccepted(received);
          }
        },
        onData: (bytes) => {
          if (closed || head === undefined) {
            return;
          }
          if (!isStreamResponse(head)) {
            if (!otherResponse.add(bytes)) {
              fail('the response exceeds the size limit');
            }
            return;
          }
          for (const event of splitter.push(bytes)) {
            // A block without an id is a comment, which an engine may send before a run begins.
            if (event.id !== undefined) {
              if (firstEventAtMs === undefined) {
                onFirstEvent();
              }
              events += 1;
              lastEventAtMs = clock.monotonicMs();
              tokenTimes.onEvent(lastEventAtMs);
              const wroteForMs = lastEventAtMs - (firstEventAtMs ?? lastEventAtMs);
              if (wroteForMs >= writtenAfterMs && events >= writtenAfterEvents) {
                markWritten();
              }
            }
            handlers.onEvent(event);
          }
          if (splitter.remainderBytes() > context.limits.maxEventBytes) {
            fail('an event of the stream exceeds the size limit');
          }
        },
        onEnd: () => {
          if (!release() || head === undefined) {
            return;
          }
          if (!isStreamResponse(head)) {
            handlers.onOtherResponse(head, otherBody);
          } else if (splitter.endsInsideEvent()) {
            // A complete response may still hold a truncated stream: a failing engine can end it in order.
            handlers.onFailure({ possiblySent: true, reason: 'the stream ended inside an event' });
          } else if (
            head.endsWithConnection &&
            firstEventAtMs === undefined &&
            !options.mayBeEmpty
          ) {
            // An engine that crashes may close its connections in order.
            handlers.onFailure({ possiblySent: true, reason: 'the stream ended without an event' });
          } else {
            if (!head.endsWithConnection) {
              markWritten();
            }
            handlers.onComplete(splitter.remainder(), head);
          }
        },
        onFailure: (failure) => {
          if (release()) {
            handlers.onFailure(failure);
          }
        },
      },
    );

    return {
      member,
      backup,
      sentAtMs,
      isContinuation: copy !== undefined,
      firstEventAtMs: () => firstEventAtMs,
      hasWritten: () => written,
      endsInsideEvent: splitter.endsInsideEvent,
      isClosed: () => closed,
      close: () => {
        if (release()) {
          exchange.abort();
        }
      },
    };
  },
};
