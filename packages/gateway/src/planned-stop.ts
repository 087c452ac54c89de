import type { FleetMember } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import { awaitRunEnd, provesEnd } from './run-end.js';
import { RunListCheck, runListIntervalMs } from './run-list.js';
import type { StreamSegment } from './stream-segment.js';
import type { CopyOutcome, RunCopy } from './upstream-client.js';

/** Memory of a run that its engine has stopped. The engine keeps it, whether it was copied or not. */
export interface StoppedRun {
  readonly copy: RunCopy;
  /** Whether the copy has arrived at the engine that the run was to move to. */
  readonly isAtTarget: boolean;
}

/**
 * Result of asking a sound engine to stop a run. `stopped`: the engine no longer works on it, as its
 * reply says (`memory`), or the end of its response or its list of runs, which come before a reply
 * that waits for the copy. `running`: it goes
 * on, or has ended by itself. `unanswered`: it may have been stopped. `superseded`: the stream has
 * ended or was taken from its engine meanwhile.
 */
export type PlannedStop =
  | {
      readonly kind: 'stopped';
      readonly memory: StoppedRun | undefined;
      /** What the reply says; it comes later than the list where the copy takes its time. */
      readonly reply: Promise<StoppedRun | undefined>;
    }
  | { readonly kind: 'running' | 'unanswered' | 'superseded' };

/** The end of a segment's response, which may have been caused by a stop. */
export interface SegmentEnd {
  readonly segment: StreamSegment;
  /** Set if the response may be complete, as it has no stated end. */
  readonly complete?: () => void;
  /** Whether the engine closed the connection in order, before the stated end of the response. */
  readonly isClosedEarly?: boolean;
  readonly fail: () => void;
}

/** Stops runs of one stream at their engines while their connections stay open. */
export interface PlannedStops {
  /** To be called with each end of a response that a stop may have caused. */
  readonly onEnd: (end: SegmentEnd) => void;
  /** After `maxWaitMs`, if set, a stop without a reply counts as unanswered. */
  readonly stop: (
    segment: StreamSegment,
    target: FleetMember,
    maxWaitMs?: number,
  ) => Promise<PlannedStop>;
}

/** Dependencies of `PlannedStops`. */
export type PlannedStopContext = Pick<ServingContext, 'client' | 'clock' | 'log'>;

/** Timeout for a copy; engines that leave at short notice are gone by then. */
export const copyTimeoutMs = 2500;

/** Outcomes in the log of a stop that settled without a reply. */
const outcomesWithoutReply = {
  ended: 'response ended',
  late: 'no reply in time',
  failed: 'failed',
} as const;

const memoryOf = (reply: CopyOutcome): StoppedRun | undefined => {
  switch (reply.outcome) {
    case 'copied':
      return { copy: reply.copy, isAtTarget: true };
    case 'no-room':
      return reply.copy === undefined ? undefined : { copy: reply.copy, isAtTarget: false };
    default:
      return undefined;
  }
};

export const PlannedStops = {
  create: (context: PlannedStopContext, call: Pick<Call, 'request' | 'isEnded'>): PlannedStops => {
    const { client, clock, log } = context;
    const requestId = call.request.id;
    let stopping: StreamSegment | undefined;
    let heldEnd: SegmentEnd | undefined;
    let onHeldEnd: (end: SegmentEnd) => void = () => undefined;
    /** A segment whose run may have been stopped, so that its end does not prove it complete. */
    let doubtful: StreamSegment | undefined;

    const conclude = ({ segment, complete, fail }: SegmentEnd): void => {
      if (complete === undefined || segment === doubtful) {
        fail();
      } else {
        complete();
      }
    };

    /**
     * Resolves when the end of the segment's response shows that the run was stopped. An engine that
     * closes it early in order has most probably done as it was told, see `confirmEnd`. One that was reset may go on with the run,
     * until its list doesn't name it any more. A response without a stated end may be complete, which
     * the reply to the stop tells.
     */
    const awaitShownEnd = (segment: StreamSegment, settled: Promise<unknown>): Promise<void> =>
      new Promise((resolve) => {
        const check = RunListCheck.create(clock, requestId, segment.firstEventAtMs());
        const readList = async (): Promise<void> => {
          const runs = await client.listRuns(segment.member.upstream);
          runs.ifRight((ids) => {
            if (check.provesEnd(ids)) {
              cancel();
              resolve();
            }
          });
        };
        onHeldEnd = ({ isClosedEarly }) => {
          if (isClosedEarly === true) {
            cancel();
            resolve();
          }
        };
        const cancel = clock.every(runListIntervalMs, () => {
          if (heldEnd?.segment === segment && heldEnd.complete === undefined) {
            readList().catch((error: unknown) => {
              log.event('failed to list runs', { request: requestId, reason: String(error) });
            });
          }
        });
        void settled.then(cancel);
      });

    const dropMemory = (segment: StreamSegment, memory: StoppedRun | undefined): void => {
      if (memory !== undefined) {
        client.dropCopy(segment.member.upstream, memory.copy);
      }
    };

    /**
     * Ends a run whose response was closed, but which the reply to the stop doesn't confirm to have
     * ended: a faulty engine may close a response and go on with the run.
     */
    const confirmEnd = (
      segment: StreamSegment,
      target: FleetMember,
      reply: CopyOutcome | undefined,
    ): void => {
      if (reply !== undefined && provesEnd(reply)) {
        return;
      }
      awaitRunEnd(context, {
        upstream: segment.member.upstream,
        requestId,
        begunAtMs: segment.firstEventAtMs(),
        target: target.upstream,
        movable: true,
        maxWaitMs: copyTimeoutMs,
      }).catch((error: unknown) => {
        log.event('failed to confirm the end of a run', {
          request: requestId,
          reason: String(error),
        });
      });
    };

    /** Resolves after the longest wait for a reply; never if there is none. */
    const awaitLimit = (maxWaitMs: number | undefined, settled: Promise<unknown>): Promise<void> =>
      new Promise((resolve) => {
        if (maxWaitMs !== undefined) {
          const cancel = clock.after(maxWaitMs, resolve);
          void settled.then(cancel);
        }
      });

    const stop = async (
      segment: StreamSegment,
      target: FleetMember,
      maxWaitMs?: number,
    ): Promise<PlannedStop> => {
      const { upstream } = segment.member;
      const askedAtMs = clock.monotonicMs();
      stopping = segment;
      const outcome = client
        .copyRun(upstream, requestId, target.upstream, true, copyTimeoutMs)
        .catch((error: unknown) => {
          log.event('failed to stop a run', { request: requestId, reason: String(error) });
          return undefined;
        });
      const reply = outcome.then((replied) =>
        replied === undefined ? undefined : memoryOf(replied),
      );
      const replied = await Promise.race([
        outcome,
        awaitShownEnd(segment, outcome).then(() => 'ended' as const),
        awaitLimit(maxWaitMs, outcome).then(() => 'late' as const),
      ]);
      stopping = undefined;
      const end = heldEnd;
      heldEnd = undefined;
      const isReply = replied !== undefined && replied !== 'ended' && replied !== 'late';
      const memory = isReply ? memoryOf(replied) : undefined;
      log.decision('planned stop', {
        request: requestId,
        upstream: upstream.id,
        target: target.upstream.id,
        outcome: isReply ? replied.outcome : outcomesWithoutReply[replied ?? 'failed'],
        hasMemory: memory !== undefined,
        responseEnded: end !== undefined,
        afterMs: Math.round(clock.monotonicMs() - askedAtMs),
      });
      if (call.isEnded() || (segment.isClosed() && end === undefined)) {
        void reply.then((late) => {
          dropMemory(segment, late);
        });
        return { kind: 'superseded' };
      }
      if (replied === 'ended') {
        void outcome.then((late) => {
          confirmEnd(segment, target, late);
        });
      }
      if (replied === 'ended' || memory !== undefined) {
        segment.close();
        return { kind: 'stopped', memory, reply };
      }
      const isUnanswered = !isReply || replied.outcome === 'unreachable';
      // A reply that can't be read, or a call that went before, may have stopped the run as well.
      const isEndDoubtful = end !== undefined && !(isReply && replied.outcome === 'no-such-run');
      if (isUnanswered || isEndDoubtful) {
        doubtful = segment;
      }
      if (replied === 'late') {
        void reply.then((late) => {
          dropMemory(segment, late);
        });
      }
      if (end !== undefined) {
        conclude(end);
      }
      return { kind: isUnanswered ? 'unanswered' : 'running' };
    };

    return {
      onEnd: (end) => {
        if (end.segment === stopping) {
          heldEnd = end;
          onHeldEnd(end);
        } else {
          conclude(end);
        }
      },
      stop,
    };
  },
};
