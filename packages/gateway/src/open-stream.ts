import { Failure } from '@zinniagrade/errors';
import {
  recordAnswer,
  type Engine,
  type FleetMember,
  type StreamEvent,
} from '@zinniagrade/serving';
import { beginStream, sendWhole } from './answers.js';
import type { Call, ServingContext } from './call.js';
import { RunMove } from './run-move.js';
import { isLastResort, type Standby } from './standby.js';
import { StreamAdmission } from './stream-admission.js';
import { StreamLeg } from './stream-leg.js';
import { StreamPlacement } from './stream-placement.js';
import { StreamProgress } from './stream-progress.js';
import type { AnswerHead, ExchangeFailure, RunCopy } from './upstream-client.js';

/** A stream that is being served, as the part that moves streams sees it. */
export interface OpenStream {
  readonly requestId: string;
  /** Engine that runs it now. */
  readonly member: () => FleetMember | undefined;
  /** Whether it has begun and isn't being moved. */
  readonly isMovable: () => boolean;
  /** Expected tokens in memory at its end. */
  readonly expectedTokens: () => number;
  /** Moves it to another engine; settles when it was sent there or has to be tried again. */
  readonly move: (reason: string) => Promise<void>;
}

const avoidAfterFailureMs = 500;
const maxRefusals = 4;
const refusalRetryAfterMs = 600;
/** Tries to go on elsewhere before a stream is given up. */
const maxContinuations = 8;
/** Time from a run's first event until its prompt has certainly reached the holder of its backup. */
const backupDelayMs = 1500;
/** Engines fuller than this hold no further backups: running requests need the rest. */
const maxBackupMemoryShare = 0.85;

/**
 * Serves a stream. It runs once: when its engine leaves or is lost, the same run goes on at another
 * engine from a copy of its memory, after the last event that the caller was sent.
 */
export const OpenStream = {
  create: (context: ServingContext, call: Call, engine: Engine): OpenStream => {
    const { clock, log, metrics, client } = context;
    const { request, route, service, response } = call;
    const placement = StreamPlacement.create(context, call, engine);
    const progress = StreamProgress.create(context, call);
    const admission = StreamAdmission.create(context, call, placement);
    const { budget, departures, returnTimes } = context.recordOf(service.name);
    const tried = new Set<string>();
    let leg: StreamLeg | undefined;
    let standby: Standby | undefined;
    let headSent = false;
    let refusals = 0;
    let continuations = 0;

    const note = (outcome: string, member?: FleetMember, detail?: string): void => {
      const nowMs = clock.monotonicMs();
      log.decision('stream step', {
        request: request.id,
        upstream: member?.upstream.id,
        outcome,
        detail,
        events: progress.events(),
        loadAgeMs: member === undefined ? undefined : Math.round(nowMs - member.engineLoadAtMs),
        usedTokens: member?.engineLoad?.usedTokens,
        afterMs: Math.round(nowMs - call.arrivedAtMs),
      });
    };

    const refuse = (): void => {
      call.fail(
        Failure.create(
          refusals > 0 ? 'upstream-refused' : 'no-upstream',
          `no engine of ${service.name} took the request`,
          refusalRetryAfterMs,
        ),
      );
    };

    const relay = (from: StreamLeg, event: StreamEvent): void => {
      if (!progress.accept(event)) {
        return;
      }
      response.write(event.bytes);
      if (response.writableNeedDrain) {
        from.pause();
        response.once('drain', from.resume);
      }
    };

    const record = (ended: StreamLeg, tookMs: number, failed: boolean): void => {
      recordAnswer(ended.member, tookMs, failed);
      const pace = ended.pace();
      context.rollouts.observe({
        member: ended.member,
        route: route.name,
        failed,
        ...(pace.firstEventMs === undefined ? {} : { firstEventMs: pace.firstEventMs }),
        ...(pace.betweenEventsMs === undefined
          ? {}
          : { betweenTokensMs: pace.betweenEventsMs / Math.max(1, engine.tokensPerEvent) }),
      });
    };

    const complete = (ended: StreamLeg, rest: Buffer): void => {
      const nowMs = clock.monotonicMs();
      record(ended, nowMs - ended.sentAtMs, false);
      departures.recordStreamDuration(nowMs - call.arrivedAtMs);
      returnTimes.recordFreedMemory(placement.expectedTokens(progress.events()), nowMs);
      response.end(rest);
      log.decision('stream complete', {
        request: request.id,
        upstream: ended.member.upstream.id,
        events: progress.events(),
        continuations,
        ...progress.summary(),
        firstEventGoalMs: route.goalMs,
        gapGoalMs: route.gapGoalMs,
      });
      call.finish('complete');
    };

    /** The run goes on from a copy; what the copy lacks is read anew. */
    const continueAt = (holder: FleetMember, copy: RunCopy, reason: string): void => {
      note('switch', holder, reason);
      progress.noteMove();
      continuations += 1;
      start(holder, copy);
    };

    /** Goes on from the copy of a run whose engine was lost, or ends the stream. */
    const recover = (reason: string): void => {
      const found = standby;
      const usable = found !== undefined && isLastResort(found, context.view.withdrawn);
      if (usable && continuations < maxContinuations) {
        continueAt(found.holder, found.copy, reason);
        return;
      }
      note('lost', leg?.member, reason);
      metrics.count('stream-lost');
      call.fail(Failure.create('generation-lost', reason));
    };

    /** Sends a request that has not run to another engine, or refuses it. */
    const tryAnother = (): void => {
      refusals += 1;
      if (
        refusals > maxRefusals ||
        !budget.tryTakeRetry(clock.monotonicMs(), context.nodeCount())
      ) {
        refuse();
      } else {
        begin();
      }
    };

    const onOther = (ended: StreamLeg, head: AnswerHead, body: Buffer): void => {
      note(head.notRun ? 'refused' : 'no stream', ended.member, String(head.status));
      if (head.notRun && !ended.continued) {
        tryAnother();
        return;
      }
      record(ended, 0, true);
      if (head.notRun || headSent || !head.matches) {
        recover(`answered with status ${String(head.status)}`);
        return;
      }
      sendWhole(response, head, body);
      call.finish('upstream-error');
    };

    const onFailure = (ended: StreamLeg, failure: ExchangeFailure): void => {
      record(ended, 0, true);
      note(failure.sent ? 'connection lost' : 'not reached', ended.member, failure.reason);
      if (failure.sent || ended.continued) {
        recover(failure.reason);
        return;
      }
      ended.member.avoidUntilMs = clock.monotonicMs() + avoidAfterFailureMs;
      tryAnother();
    };

    const start = (member: FleetMember, copy?: RunCopy): void => {
      const backup = engine.supportsBackups
        ? placement.placeCopy(
            new Set([member.upstream.id]),
            progress.events(),
            maxBackupMemoryShare,
          )
        : undefined;
      const next = StreamLeg.create(
        context,
        call,
        {
          member,
          backup,
          continuation: copy === undefined ? undefined : { copy, afterEvent: progress.lastEvent() },
          promptTokens: placement.promptTokens,
          expectedTokens: placement.expectedTokens(progress.events()),
        },
        {
          onAccepted: (head) => {
            if (!headSent) {
              headSent = true;
              beginStream(response, head);
            }
          },
          onEvent: (event) => {
            relay(next, event);
          },
          onComplete: (rest) => {
            complete(next, rest);
          },
          onOther: (head, body) => {
            onOther(next, head, body);
          },
          onFailure: (failure) => {
            onFailure(next, failure);
          },
        },
      );
      leg = next;
      standby =
        backup === undefined
          ? undefined
          : {
              holder: backup,
              copy: client.backupOf(backup.upstream, request.id),
              readyAtMs: clock.monotonicMs() + backupDelayMs,
            };
    };

    const begin = (): void => {
      admission.request(
        tried,
        (member) => {
          tried.add(member.upstream.id);
          note('sent', member);
          start(member);
        },
        (failure, reason) => {
          note(reason);
          call.fail(failure);
        },
      );
    };

    const moves = RunMove.create(context, call, placement, progress, {
      leg: () => leg,
      standby: () => standby,
      continueAt,
      note,
    });

    call.onOver(() => {
      leg?.close();
    });
    const cancelTimeout = clock.after(call.endsAtMs - clock.monotonicMs(), () => {
      if (leg === undefined) {
        refuse();
      } else {
        call.fail(Failure.create('upstream-timeout', 'the stream was not complete in time'));
      }
    });
    call.onOver(cancelTimeout);
    budget.recordFirstSend(clock.monotonicMs());
    begin();

    return {
      requestId: request.id,
      member: () => leg?.member,
      isMovable: () =>
        engine.movable &&
        !moves.isCopying() &&
        !call.isOver() &&
        leg?.isClosed() === false &&
        leg.firstEventAtMs() !== undefined,
      expectedTokens: () => placement.expectedTokens(progress.events()),
      move: moves.move,
    };
  },
};
