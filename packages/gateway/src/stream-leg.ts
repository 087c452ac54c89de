import {
  EventSplitter,
  expectedUse,
  recordColdSend,
  recordFirstEvent,
  type FleetMember,
  type OwnRun,
  type StreamEvent,
} from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import type { AnswerHead, Exchange, ExchangeFailure, Send } from './upstream-client.js';

export interface LegOptions {
  readonly member: FleetMember;
  /** Engine that keeps a copy of the run as it grows. */
  readonly backup: FleetMember | undefined;
  readonly continuation: Send['continuation'] | undefined;
  readonly promptTokens: number;
  /** Expected memory at the end. */
  readonly expectedTokens: number;
}

export interface LegHandlers {
  /** The engine runs the request. */
  readonly onAccepted: (head: AnswerHead) => void;
  readonly onEvent: (event: StreamEvent) => void;
  /** The whole stream has come; with the bytes after its last event. */
  readonly onComplete: (rest: Buffer) => void;
  /** A whole answer other than a stream. */
  readonly onOther: (head: AnswerHead, body: Buffer) => void;
  readonly onFailure: (failure: ExchangeFailure) => void;
}

/** The part of a stream that one engine makes. */
export interface StreamLeg {
  readonly member: FleetMember;
  readonly backup: FleetMember | undefined;
  readonly sentAtMs: number;
  readonly continued: boolean;
  readonly firstEventAtMs: () => number | undefined;
  /** Figures of a leg that began the stream: time to its first event and mean time between events. */
  readonly pace: () => { readonly firstEventMs?: number; readonly betweenEventsMs?: number };
  readonly isClosed: () => boolean;
  /** Closes the connection, which stops the engine. No handler is called after it. */
  readonly close: () => void;
  readonly pause: () => void;
  readonly resume: () => void;
}

const isStream = (head: AnswerHead): boolean => head.status === 200 && head.matches && !head.notRun;

export const StreamLeg = {
  create: (
    context: ServingContext,
    call: Call,
    options: LegOptions,
    handlers: LegHandlers,
  ): StreamLeg => {
    const { clock } = context;
    const { member, backup, continuation } = options;
    const runKey = call.request.id;
    const backupKey = `${runKey}#backup`;
    const sentAtMs = clock.monotonicMs();
    const promptTokens = continuation === undefined ? options.promptTokens : 0;
    const tokensAhead = expectedUse(member, context.peerUse).promptTokens + promptTokens;
    const splitter = EventSplitter.create();
    const otherBody: Buffer[] = [];
    let firstEventAtMs: number | undefined;
    let lastEventAtMs = 0;
    let events = 0;
    let head: AnswerHead | undefined;
    let closed = false;

    const run: OwnRun = {
      requestId: runKey,
      sentAtMs,
      promptTokens,
      expectedTokens: options.expectedTokens,
      hasBegun: false,
      isBackup: false,
    };
    recordColdSend(member, sentAtMs);
    member.ownRuns.set(runKey, run);
    backup?.ownRuns.set(backupKey, { ...run, promptTokens: 0, isBackup: true });
    context.useChanged();

    /** False where the leg was closed before. */
    const release = (): boolean => {
      if (closed) {
        return false;
      }
      closed = true;
      member.ownRuns.delete(runKey);
      backup?.ownRuns.delete(backupKey);
      context.useChanged();
      return true;
    };

    const onFirstEvent = (): void => {
      firstEventAtMs = clock.monotonicMs();
      run.hasBegun = true;
      if (continuation === undefined) {
        recordFirstEvent(member, firstEventAtMs - sentAtMs, tokensAhead);
      }
      context.useChanged();
    };

    const exchange: Exchange = context.client.send(
      {
        upstream: member.upstream,
        request: call.request,
        body: call.body,
        remainingMs: call.endsAtMs - sentAtMs,
        ...(call.account === undefined ? {} : { account: call.account.name }),
        ...(continuation === undefined ? {} : { continuation }),
        ...(backup === undefined ? {} : { backup: backup.upstream }),
      },
      {
        onHead: (received) => {
          head = received;
          if (!closed && isStream(received)) {
            handlers.onAccepted(received);
          }
        },
        onData: (bytes) => {
          if (closed || head === undefined) {
            return;
          }
          if (!isStream(head)) {
            otherBody.push(bytes);
            return;
          }
          for (const event of splitter.push(bytes)) {
            if (firstEventAtMs === undefined) {
              onFirstEvent();
            }
            events += 1;
            lastEventAtMs = clock.monotonicMs();
            handlers.onEvent(event);
          }
        },
        onEnd: () => {
          if (!release() || head === undefined) {
            return;
          }
          if (isStream(head)) {
            handlers.onComplete(splitter.remainder());
          } else {
            handlers.onOther(head, Buffer.concat(otherBody));
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
      continued: continuation !== undefined,
      firstEventAtMs: () => firstEventAtMs,
      pace: () => ({
        ...(firstEventAtMs === undefined || continuation !== undefined
          ? {}
          : { firstEventMs: firstEventAtMs - sentAtMs }),
        ...(firstEventAtMs === undefined || events < 2
          ? {}
          : { betweenEventsMs: (lastEventAtMs - firstEventAtMs) / (events - 1) }),
      }),
      isClosed: () => closed,
      close: () => {
        if (release()) {
          exchange.abort();
        }
      },
      pause: exchange.pause,
      resume: exchange.resume,
    };
  },
};
