import { Failure } from '@zinniagrade/errors';
import {
  callerPatienceMs,
  decideRecovery,
  maxRunEndWaitMs,
  maxSilenceMs,
  recordAnswer,
  type Engine,
  type FleetMember,
  type StreamEvent,
  type StreamRecovery,
} from '@zinniagrade/serving';
import { beginStreamResponse, forwardResponse } from './responses.js';
import type { Call, ServingContext } from './call.js';
import { watchSilence } from './silence-watch.js';
import { StreamMigration } from './stream-migration.js';
import { awaitRunEnd, type RunEnd } from './run-end.js';
import { canRecover, type Standby } from './standby.js';
import { StreamAdmission } from './stream-admission.js';
import { StreamSegment } from './stream-segment.js';
import { StreamPlacement } from './stream-placement.js';
import { StreamProgress } from './stream-progress.js';
import type { ResponseHead, ExchangeFailure, RunCopy } from './upstream-client.js';

/** A stream that is being served; the interface through which it is moved to other engines. */
export interface OpenStream {
  readonly requestId: string;
  /** Engine that runs the stream; undefined before it was placed. */
  readonly member: () => FleetMember | undefined;
  /** Whether the stream has started and is not being moved. */
  readonly isMovable: () => boolean;
  /** Expected memory at the end of the stream, in tokens. */
  readonly expectedTokens: () => number;
  /**
   * Moves the stream to another engine; resolves when it continues there or the move has to be
   * retried.
   */
  readonly move: (reason: string) => Promise<void>;
}

const avoidAfterFailureMs = 500;
const maxRefusals = 4;
const refusalRetryAfterMs = 600;
/** Time after sending a run by which its prompt has certainly reached the holder of its backup. */
const backupDelayMs = 1500;
/** Engines with a higher memory share take no more backups: running requests need the rest. */
const maxBackupMemoryShare = 0.85;

/**
 * Serves a streaming request. It is executed only once: if its engine leaves or fails, another engine
 * continues the run from a copy of its memory, after the last event that was sent to the caller.
 */
export const OpenStream = {
  create: (context: ServingContext, call: Call, engine: Engine): OpenStream => {
    const { clock, log, metrics, client } = context;
    const { request, route, service, response } = call;
    const placement = StreamPlacement.create(context, call, engine);
    const progress = StreamProgress.create(context, call);
    const admission = StreamAdmission.create(context, call, placement);
    const { budget, departures, returnTimes } = context.recordOf(service.name);
    const triedEngines = new Set<string>();
    let segment: StreamSegment | undefined;
    let standby: Standby | undefined;
    let headSent = false;
    let refusals = 0;
    let continuations = 0;
    /** Runs that were begun; one that its engine refused does not count. */
    let runs = 0;
    /** Whether an engine may have executed the request. */
    let mayHaveRun = false;

    const logStep = (outcome: string, member?: FleetMember, detail?: string): void => {
      const nowMs = clock.monotonicMs();
      log.decision('stream step', {
        request: request.id,
        upstream: member?.upstream.id,
        outcome,
        detail,
        events: progress.events(),
        promptParts: request.promptParts.join(),
        loadAgeMs: member === undefined ? undefined : Math.round(nowMs - member.engineLoadAtMs),
        usedTokens: member?.engineLoad?.usedTokens,
        afterMs: Math.round(nowMs - call.arrivedAtMs),
      });
    };

    /** Ends the call; a request that may have run is not reported as refused. */
    const refuse = (failure: Failure): void => {
      call.fail(mayHaveRun ? Failure.create('generation-lost', failure.detail) : failure);
    };

    const refuseUnaccepted = (): void => {
      refuse(
        Failure.create(
          refusals > 0 ? 'upstream-refused' : 'no-upstream',
          `no engine of ${service.name} accepted the request`,
          context.statements.retryAfterMs(call, refusalRetryAfterMs),
        ),
      );
    };

    const endUnread = (): void => {
      logStep('caller does not read', segment?.member, `${String(response.writableLength)} bytes`);
      call.fail(Failure.create('caller-too-slow', 'the caller does not read its stream'));
    };

    const forwardEvent = (event: StreamEvent): void => {
      if (call.isEnded() || !progress.accept(event)) {
        return;
      }
      response.write(event.bytes);
      if (response.writableLength > context.limits.maxUnsentBytes) {
        endUnread();
      } else {
        context.unread.recordWrite(response, endUnread);
      }
    };

    const recordOutcome = (endedSegment: StreamSegment, tookMs: number, failed: boolean): void => {
      recordAnswer(endedSegment.member, tookMs, failed);
      context.rollouts.recordOutcome(endedSegment.member, route.name, failed);
    };

    const complete = (endedSegment: StreamSegment, rest: Buffer, head: ResponseHead): void => {
      const nowMs = clock.monotonicMs();
      recordOutcome(endedSegment, nowMs - endedSegment.sentAtMs, false);
      departures.recordStreamDuration(nowMs - call.arrivedAtMs);
      returnTimes.recordFreedMemory(placement.expectedTokens(progress.events()), nowMs);
      response.end(rest);
      log.decision('stream completed', {
        request: request.id,
        upstream: endedSegment.member.upstream.id,
        events: progress.events(),
        continuations,
        endsWithConnection: head.endsWithConnection,
        ...progress.summary(),
        firstEventGoalMs: route.goalMs,
        gapGoalMs: route.gapGoalMs,
      });
      call.finish('complete');
    };

    /** Continues the run at the holder of a copy; memory that the copy lacks is recomputed. */
    const continueAt = (holder: FleetMember, copy: RunCopy, reason: string): void => {
      logStep('switch', holder, reason);
      progress.recordMove();
      continuations += 1;
      startSegment(holder, copy);
    };

    const usableStandby = (): Standby | undefined =>
      standby !== undefined && canRecover(standby, context.cluster.withdrawn, clock.monotonicMs())
        ? standby
        : undefined;

    const recovery = (): StreamRecovery =>
      decideRecovery({
        resumable: route.resumable,
        hasBegun: segment?.firstEventAtMs() !== undefined,
        hasBackup: usableStandby() !== undefined,
        continuations,
        runs,
        maxRuns: route.maxAttempts,
      });

    /** Closes a segment; resolves when its engine no longer works on it, see `awaitRunEnd`. */
    const stop = (closing: StreamSegment, target: FleetMember | undefined): Promise<RunEnd> => {
      closing.close();
      return awaitRunEnd(context, {
        upstream: closing.member.upstream,
        requestId: request.id,
        begunAtMs: closing.firstEventAtMs(),
        target: target?.upstream,
        movable: engine.movable,
        maxWaitMs: maxRunEndWaitMs(callerPatienceMs(route.goalMs, route.gapGoalMs)),
      });
    };

    const endAsLost = (outcome: string, reason: string): void => {
      logStep(outcome, segment?.member, reason);
      metrics.countDecision('stream-lost');
      call.fail(Failure.create('generation-lost', reason));
    };

    const onNotStopped = (): void => {
      endAsLost('not stopped', 'the engine goes on with the run and does not stop it');
    };

    /** Ends the stream if upstreams were lost on requests like it; returns whether it did. */
    const endIfHarmful = (reason: string): boolean => {
      if (context.guard.allowsRepeat(call)) {
        return false;
      }
      logStep('not repeated', segment?.member, 'upstreams were lost on such requests');
      call.fail(Failure.create('generation-lost', reason));
      return true;
    };

    /** Continues an interrupted stream, or runs it again; ends it if neither is possible. */
    const goOn = (reason: string, copyOfStop: RunCopy | undefined): void => {
      const backup = usableStandby();
      const decision = recovery();
      if (decision === 'continue-from-copy' && backup !== undefined) {
        continueAt(backup.holder, copyOfStop ?? backup.copy, reason);
        return;
      }
      if (
        decision === 'run-again' &&
        budget.tryTakeRetry(clock.monotonicMs(), context.nodeCount())
      ) {
        logStep('run again', segment?.member, reason);
        progress.recordMove();
        admit();
        return;
      }
      endAsLost('lost', reason);
    };

    /**
     * Lets a stream go on whose engine was lost, once that engine no longer works on it, or ends the
     * stream.
     */
    const recover = async (lost: StreamSegment, reason: string): Promise<void> => {
      mayHaveRun = true;
      if (endIfHarmful(reason)) {
        return;
      }
      if (recovery() === 'end') {
        endAsLost('lost', reason);
        return;
      }
      const backup = usableStandby();
      const end = await stop(lost, backup?.holder ?? placement.place(triedEngines, 0));
      if (call.isEnded()) {
        return;
      }
      if (end.kind === 'running') {
        onNotStopped();
        return;
      }
      const isForBackup = backup !== undefined && usableStandby() === backup;
      goOn(reason, isForBackup && end.kind === 'ended' ? end.copy : undefined);
    };

    const startRecovery = (lost: StreamSegment, reason: string): void => {
      recover(lost, reason).catch((error: unknown) => {
        log.event('stream recovery failed', { request: request.id, reason: String(error) });
        call.fail(Failure.create('generation-lost', reason));
      });
    };

    /** Sends a request that was not executed to another engine, or refuses it. */
    const tryAnotherEngine = (): void => {
      refusals += 1;
      if (
        refusals > maxRefusals ||
        !budget.tryTakeRetry(clock.monotonicMs(), context.nodeCount())
      ) {
        refuseUnaccepted();
      } else {
        admit();
      }
    };

    const onOtherResponse = (
      endedSegment: StreamSegment,
      head: ResponseHead,
      body: Buffer,
    ): void => {
      logStep(
        head.notExecuted ? 'refused' : 'response is not a stream',
        endedSegment.member,
        String(head.status),
      );
      if (head.notExecuted && !endedSegment.isContinuation) {
        runs -= 1;
        tryAnotherEngine();
        return;
      }
      recordOutcome(endedSegment, 0, true);
      if (head.notExecuted) {
        // The engine has no copy of the run, or freed it.
        standby = undefined;
      }
      // Without the seal a 503 is not the engine's word, and callers would take it for a promise.
      const canForward = !head.notExecuted && !headSent && head.matchesRequest && head.sealed;
      if (!canForward || recovery() === 'run-again') {
        mayHaveRun = true;
        // The response is complete, so the engine is done with the request.
        const reason = `engine responded with status ${String(head.status)}`;
        if (!endIfHarmful(reason)) {
          goOn(reason, undefined);
        }
        return;
      }
      forwardResponse(context.unread, response, head, body);
      call.finish('upstream-error');
    };

    const onFailure = (endedSegment: StreamSegment, failure: ExchangeFailure): void => {
      recordOutcome(endedSegment, 0, true);
      logStep(
        failure.possiblySent ? 'connection lost' : 'request not sent',
        endedSegment.member,
        failure.reason,
      );
      if (failure.possiblySent && !endedSegment.hasWritten()) {
        const { member, sentAtMs } = endedSegment;
        context.guard.onEarlyLoss(call, member.upstream.id, sentAtMs);
      }
      if (failure.possiblySent || endedSegment.isContinuation) {
        startRecovery(endedSegment, failure.reason);
        return;
      }
      endedSegment.member.avoidUntilMs = clock.monotonicMs() + avoidAfterFailureMs;
      runs -= 1;
      tryAnotherEngine();
    };

    const startSegment = (member: FleetMember, copy?: RunCopy): void => {
      if (segment?.endsInsideEvent() === true) {
        progress.recordPartialEvent();
      }
      const backup = engine.supportsBackups
        ? placement.placeCopy(
            new Set([member.upstream.id]),
            progress.events(),
            maxBackupMemoryShare,
          )
        : undefined;
      const newSegment = StreamSegment.create(
        context,
        call,
        {
          member,
          backup,
          copy,
          afterEvent: progress.lastEventId(),
          mayBeEmpty: call.resumeAfter !== undefined && continuations === 0 && !mayHaveRun,
          tokensPerEvent: engine.tokensPerEvent,
          promptTokens: placement.promptTokens,
          expectedTokens: placement.expectedTokens(progress.events()),
        },
        {
          onAccepted: (head) => {
            if (!headSent) {
              headSent = true;
              beginStreamResponse(response, head);
            }
          },
          onEvent: (event) => {
            forwardEvent(event);
          },
          onWritten: () => {
            context.guard.onSound(call);
          },
          onComplete: (rest, head) => {
            if (progress.awaitsEvent()) {
              const reason = 'the stream ended without the event that another engine had begun';
              onFailure(newSegment, { possiblySent: true, reason });
            } else {
              complete(newSegment, rest, head);
            }
          },
          onOtherResponse: (head, body) => {
            onOtherResponse(newSegment, head, body);
          },
          onFailure: (failure) => {
            onFailure(newSegment, failure);
          },
        },
      );
      segment = newSegment;
      standby =
        backup === undefined
          ? undefined
          : {
              holder: backup,
              copy: client.backupOf(backup.upstream, request.id),
              readyAtMs: clock.monotonicMs() + backupDelayMs,
            };
    };

    const admit = (): void => {
      admission.admit(
        triedEngines,
        (member) => {
          triedEngines.add(member.upstream.id);
          runs += 1;
          logStep('sent', member);
          startSegment(member);
        },
        (failure, reason) => {
          logStep(reason);
          refuse(failure);
        },
      );
    };

    const migration = StreamMigration.create(context, call, placement, progress, {
      segment: () => segment,
      standby: () => standby,
      stop,
      onNotStopped,
      continueAt,
      logStep,
    });

    call.onEnded(() => {
      segment?.close();
    });
    call.deadline.onReached(() => {
      if (segment === undefined) {
        refuseUnaccepted();
      } else {
        call.fail(
          Failure.create('upstream-timeout', 'the stream did not complete before its deadline'),
        );
      }
    });
    const stopWatch = watchSilence(clock, {
      lastProgressAtMs: () => Math.max(progress.lastEventAtMs(), segment?.sentAtMs ?? 0),
      maxSilenceMs: () =>
        segment === undefined || segment.isClosed()
          ? Infinity
          : maxSilenceMs({
              goalMs: route.goalMs,
              gapGoalMs: route.gapGoalMs,
              recovery: recovery(),
            }),
      onSilent: () => {
        if (segment !== undefined) {
          segment.close();
          startRecovery(segment, 'the engine sent no event for too long');
        }
      },
    });
    call.onEnded(stopWatch);
    budget.recordFirstSend(clock.monotonicMs());
    admit();

    return {
      requestId: request.id,
      member: () => segment?.member,
      isMovable: () =>
        engine.movable &&
        !migration.isCopying() &&
        !call.isEnded() &&
        segment?.isClosed() === false &&
        segment.firstEventAtMs() !== undefined,
      expectedTokens: () => placement.expectedTokens(progress.events()),
      move: migration.move,
    };
  },
};
