import { Failure } from '@zinniagrade/errors';
import {
  callerPatienceMs,
  maxRunEndWaitMs,
  type Engine,
  type FleetMember,
  type StreamRecovery,
} from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import type { ContinuationCopies } from './continuation-copies.js';
import { awaitRunEnd, type RunEnd } from './run-end.js';
import type { Standby } from './standby.js';
import type { StreamSegment } from './stream-segment.js';
import type { RunCopy } from './upstream-client.js';

/** Access to the stream that is continued. */
export interface ContinuedStream {
  readonly segment: () => StreamSegment | undefined;
  /** The copy from which the stream can go on if its engine is lost. */
  readonly usableStandby: () => Standby | undefined;
  readonly recovery: () => StreamRecovery;
  /** The best engine that was not tried. */
  readonly placeAnew: () => FleetMember | undefined;
  readonly continueAt: (holder: FleetMember, copy: RunCopy, reason: string) => void;
  readonly runAgain: (reason: string) => void;
  readonly logStep: (outcome: string, member?: FleetMember, detail?: string) => void;
}

/** Lets a stream go on after a segment of it has ended too early, or ends the stream. */
export interface StreamContinuation {
  /**
   * For a lost engine, which may still work on the run; closes the connection to it. One that is
   * known to be unreachable is not asked for its word.
   */
  readonly recover: (lost: StreamSegment, reason: string, isUnreachable?: boolean) => void;
  /** For an engine that is done with the request. */
  readonly goOn: (reason: string) => void;
  /** Continues a run that was stopped for a move; the copies are kept until an engine has one. */
  readonly continueFrom: (copies: ContinuationCopies, reason: string) => Promise<void>;
  /** For an engine that did not run the continuation; `otherwise` is called if no copy is left. */
  readonly tryOtherCopy: (reason: string, otherwise: () => void) => void;
  /** To be called when an engine has accepted the continuation from a copy. */
  readonly onAccepted: (inUse: RunCopy | undefined) => void;
}

export const StreamContinuation = {
  create: (
    context: ServingContext,
    call: Call,
    engine: Engine,
    stream: ContinuedStream,
  ): StreamContinuation => {
    const { clock, log, metrics } = context;
    const { request, route, service } = call;
    const { budget } = context.recordOf(service.name);
    /** Copies of the last move, until an engine has accepted the continuation. */
    let copies: ContinuationCopies | undefined;

    const endAsLost = (outcome: string, reason: string): void => {
      stream.logStep(outcome, stream.segment()?.member, reason);
      metrics.countDecision('stream-lost');
      call.fail(Failure.create('generation-lost', reason));
    };

    /** Ends the stream if upstreams were lost on requests like it; returns whether it did. */
    const endIfHarmful = (reason: string): boolean => {
      if (context.guard.allowsRepeat(call)) {
        return false;
      }
      stream.logStep(
        'not repeated',
        stream.segment()?.member,
        'upstreams were lost on such requests',
      );
      call.fail(Failure.create('generation-lost', reason));
      return true;
    };

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

    /** Continues an interrupted stream, or runs it again; ends it if neither is possible. */
    const proceed = (reason: string, copyOfStop: RunCopy | undefined): void => {
      const backup = stream.usableStandby();
      const decision = stream.recovery();
      if (decision === 'continue-from-copy' && backup !== undefined) {
        stream.continueAt(backup.holder, copyOfStop ?? backup.copy, reason);
        return;
      }
      if (
        decision === 'run-again' &&
        budget.tryTakeRetry(clock.monotonicMs(), context.nodeCount())
      ) {
        stream.runAgain(reason);
        return;
      }
      endAsLost('lost', reason);
    };

    const recover = async (
      lost: StreamSegment,
      reason: string,
      isUnreachable: boolean,
    ): Promise<void> => {
      if (endIfHarmful(reason)) {
        return;
      }
      if (stream.recovery() === 'end') {
        endAsLost('lost', reason);
        return;
      }
      const backup = stream.usableStandby();
      if (isUnreachable) {
        lost.close();
        proceed(reason, undefined);
        return;
      }
      const end = await stop(lost, backup?.holder ?? stream.placeAnew());
      if (call.isEnded()) {
        return;
      }
      if (end.kind === 'running') {
        endAsLost('not stopped', 'the engine goes on with the run and does not stop it');
        return;
      }
      const isForBackup = backup !== undefined && stream.usableStandby() === backup;
      proceed(reason, isForBackup && end.kind === 'ended' ? end.copy : undefined);
    };

    const releaseCopies = (inUse?: RunCopy): void => {
      copies?.release(inUse);
      copies = undefined;
    };
    call.onEnded(releaseCopies);

    /** Returns whether the run continues, or needs to no more. */
    const continueFromNext = async (from: ContinuationCopies, reason: string): Promise<boolean> => {
      const next = await from.next();
      if (call.isEnded()) {
        return true;
      }
      if (next === undefined) {
        releaseCopies();
        return false;
      }
      stream.continueAt(next.holder, next.copy, reason);
      return true;
    };

    const failContinuation = (error: unknown, reason: string): void => {
      log.event('stream recovery failed', { request: request.id, reason: String(error) });
      call.fail(Failure.create('generation-lost', reason));
    };

    return {
      recover: (lost, reason, isUnreachable = false) => {
        recover(lost, reason, isUnreachable).catch((error: unknown) => {
          failContinuation(error, reason);
        });
      },
      goOn: (reason) => {
        if (!endIfHarmful(reason)) {
          proceed(reason, undefined);
        }
      },
      continueFrom: async (from, reason) => {
        copies = from;
        if (!(await continueFromNext(from, reason))) {
          endAsLost('lost', 'no engine may continue the run');
        }
      },
      tryOtherCopy: (reason, otherwise) => {
        if (copies === undefined) {
          otherwise();
          return;
        }
        continueFromNext(copies, reason).then(
          (goesOn) => {
            if (!goesOn) {
              otherwise();
            }
          },
          (error: unknown) => {
            failContinuation(error, reason);
          },
        );
      },
      onAccepted: releaseCopies,
    };
  },
};
