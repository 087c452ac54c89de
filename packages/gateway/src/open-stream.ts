import { Failure } from '@zinniagrade/errors';
import {
  decideRecovery,
  recordAnswer,
  type Engine,
  type FleetMember,
  type StreamEvent,
  type StreamRecovery,
} from '@zinniagrade/serving';
import { passOnStream } from './pass-on-stream.js';
import { beginStreamResponse, forwardResponse } from './responses.js';
import type { Call, ServingContext } from './call.js';
import { PlannedStops } from './planned-stop.js';
import { SilentEngine } from './silent-engine.js';
import { StreamMigration } from './stream-migration.js';
import { canRecover, type Standby } from './standby.js';
import { QueuedAdmission } from './queued-admission.js';
import { StreamAdmission } from './stream-admission.js';
import { StreamContinuation } from './stream-continuation.js';
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
    const { clock, log, client } = context;
    const { request, route, service, response } = call;
    const placement = StreamPlacement.create(context, call, engine);
    const progress = StreamProgress.create(context, call);
    const admission = context.queuesGenerations
      ? QueuedAdmission.create(context, call, placement)
      : StreamAdmission.create(context, call, placement);
    const { budget, departures, returnTimes } = context.recordOf(service.name);
    const triedEngines = new Set<string>();
    let segment: StreamSegment | undefined;
    let standby: Standby | undefined;
    let headSent = false;
    let refusals = 0;
    /** Engines to which no connection opened. */
    let unreached = 0;
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
      // How long a stream takes says little of its engine, and a failure may be one of the network.
      const answer = { latencyMs: tookMs, failed, isOfUpstream: false };
      recordAnswer(endedSegment.member, answer, clock.monotonicMs());
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

    const recover = (lost: StreamSegment, reason: string, isUnreachable = false): void => {
      mayHaveRun = true;
      continuation.recover(lost, reason, isUnreachable);
    };

    /** Passes a request on that no engine has run, if this node reaches none. */
    const passOn = (): boolean => {
      if (mayHaveRun || runs > 0 || !passOnStream(context, call, unreached)) {
        return false;
      }
      mayHaveRun = true;
      return true;
    };

    /** Sends a request that was not executed to another engine, or refuses it. */
    const tryAnotherEngine = (): void => {
      if (passOn()) {
        return;
      }
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

    /** Continues a run at another engine after one has not executed the continuation. */
    const continueElsewhere = (reason: string, otherwise: () => void): void => {
      continuations -= 1;
      continuation.tryOtherCopy(reason, otherwise);
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
        migration.onRefused(endedSegment.member);
        // The engine has no copy of the run, or freed it.
        standby = undefined;
      }
      // Without the seal a 503 is not the engine's word, and callers would take it for a promise.
      const canForward = !head.notExecuted && !headSent && head.matchesRequest && head.sealed;
      if (!canForward || recovery() === 'run-again') {
        mayHaveRun = true;
        // The response is complete, so the engine is done with the request.
        const reason = `engine responded with status ${String(head.status)}`;
        const goOn = (): void => {
          continuation.goOn(reason);
        };
        if (head.notExecuted) {
          continueElsewhere(reason, goOn);
        } else {
          goOn();
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
      if (failure.isUnreached === true) {
        endedSegment.member.unreachedAtMs = clock.monotonicMs();
        unreached += 1;
      }
      if (failure.possiblySent) {
        recover(endedSegment, failure.reason);
        return;
      }
      if (endedSegment.isContinuation) {
        continueElsewhere(failure.reason, () => {
          recover(endedSegment, failure.reason);
        });
        return;
      }
      endedSegment.member.avoidUntilMs = clock.monotonicMs() + avoidAfterFailureMs;
      runs -= 1;
      tryAnotherEngine();
    };

    const onEnd = (endedSegment: StreamSegment, rest: Buffer, head: ResponseHead): void => {
      const completeStream = (): void => {
        complete(endedSegment, rest, head);
      };
      const isCut = progress.awaitsEvent();
      if (!isCut && !head.endsWithConnection) {
        completeStream();
        return;
      }
      const reason = isCut
        ? 'the stream ended without the event that another engine had begun'
        : 'the connection closed while the run was to be stopped';
      plannedStops.onEnd({
        segment: endedSegment,
        ...(isCut ? {} : { complete: completeStream }),
        fail: () => {
          onFailure(endedSegment, { possiblySent: true, reason });
        },
      });
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
            continuation.onAccepted(copy);
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
            onEnd(newSegment, rest, head);
          },
          onOtherResponse: (head, body) => {
            onOtherResponse(newSegment, head, body);
          },
          onFailure: (failure) => {
            const fail = (): void => {
              onFailure(newSegment, failure);
            };
            plannedStops.onEnd({
              segment: newSegment,
              isClosedEarly: failure.isClosedInOrder === true,
              fail,
            });
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
          if (!passOn()) {
            logStep(reason);
            refuse(failure);
          }
        },
      );
    };

    const plannedStops = PlannedStops.create(context, call);
    const continuation = StreamContinuation.create(context, call, engine, {
      segment: () => segment,
      usableStandby,
      recovery,
      placeAnew: () => placement.place(triedEngines, 0),
      continueAt,
      runAgain: (reason) => {
        logStep('run again', segment?.member, reason);
        progress.recordMove();
        admit();
      },
      logStep,
    });
    const migration = StreamMigration.create(context, call, placement, progress, {
      segment: () => segment,
      standby: () => standby,
      setStandby: (copied) => {
        standby = copied;
      },
      stop: plannedStops.stop,
      continueFrom: continuation.continueFrom,
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
    const silentEngine = SilentEngine.create(context, call, engine.movable, progress, migration, {
      segment: () => segment,
      recovery,
      recover,
    });
    call.onEnded(silentEngine.watch());
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
