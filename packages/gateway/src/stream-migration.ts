import type { FleetMember } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import { canSwitchOver, type Standby } from './standby.js';
import type { StreamSegment } from './stream-segment.js';
import type { StreamPlacement } from './stream-placement.js';
import type { StreamProgress } from './stream-progress.js';
import type { RunEnd } from './run-end.js';
import type { RunCopy } from './upstream-client.js';

/** Access to the stream that is moved. */
export interface MigratingStream {
  readonly segment: () => StreamSegment | undefined;
  readonly standby: () => Standby | undefined;
  /** Closes the segment; resolves when its engine no longer works on it, see `awaitRunEnd`. */
  readonly stop: (segment: StreamSegment, target: FleetMember) => Promise<RunEnd>;
  /** Ends the stream, as its engine could not be made to stop its run. */
  readonly onNotStopped: (segment: StreamSegment) => void;
  readonly continueAt: (holder: FleetMember, copy: RunCopy, reason: string) => void;
  readonly logStep: (outcome: string, member?: FleetMember, detail?: string) => void;
}

/** Moves a stream to another engine while its run continues. */
export interface StreamMigration {
  readonly isCopying: () => boolean;
  /** Resolves when the stream continues elsewhere or the move has to be retried. */
  readonly move: (reason: string) => Promise<void>;
}

/** Timeout for a copy; engines that leave at short notice are gone by then. */
const copyTimeoutMs = 2500;
/** Delay before a move is retried because no engine had room. */
const moveRetryMs = 60;
/** Delay before a copy is asked for again that its engine did not make, for whatever reason. */
const copyRetryMs = 300;

export const StreamMigration = {
  create: (
    context: ServingContext,
    call: Call,
    placement: StreamPlacement,
    progress: StreamProgress,
    stream: MigratingStream,
  ): StreamMigration => {
    const { clock, client } = context;
    const { request } = call;
    /** Engines that had no room for a copy of this run. */
    const enginesWithoutRoom = new Set<string>();
    const copyKey = `${request.id}#copy`;
    let copying = false;

    const pause = (durationMs: number): Promise<void> =>
      new Promise((resolve) => {
        clock.after(durationMs, resolve);
      });

    /** Copies the run's memory while it continues. Meanwhile the target's memory counts as used. */
    const copyTo = async (
      source: StreamSegment,
      target: FleetMember,
    ): Promise<RunCopy | undefined> => {
      target.ownRuns.set(copyKey, {
        requestId: request.id,
        sentAtMs: clock.monotonicMs(),
        promptTokens: 0,
        expectedTokens: placement.expectedTokens(progress.events()),
        hasBegun: true,
        isBackup: true,
      });
      context.onUseChanged();
      const askedAtMs = clock.monotonicMs();
      const copied = await client.copyRun(
        source.member.upstream,
        request.id,
        target.upstream,
        false,
        copyTimeoutMs,
      );
      stream.logStep(
        `copy: ${copied.outcome}`,
        target,
        `${String(Math.round(clock.monotonicMs() - askedAtMs))} ms`,
      );
      if (copied.outcome === 'copied') {
        if (!call.isEnded() && !source.isClosed()) {
          return copied.copy;
        }
        client.dropCopy(source.member.upstream, copied.copy);
      }
      if (copied.outcome === 'no-room') {
        enginesWithoutRoom.add(target.upstream.id);
      } else {
        await pause(copyRetryMs);
      }
      target.ownRuns.delete(copyKey);
      context.onUseChanged();
      return undefined;
    };

    /** Stops the run at its engine and continues it from the copy that the target has. */
    const switchOver = async (
      source: StreamSegment,
      target: FleetMember,
      copy: RunCopy,
      reason: string,
    ): Promise<void> => {
      const end = await stream.stop(source, target);
      if (call.isEnded()) {
        return;
      }
      if (end.kind === 'running') {
        stream.onNotStopped(source);
        return;
      }
      stream.continueAt(target, (end.kind === 'ended' ? end.copy : undefined) ?? copy, reason);
    };

    const moveByCopy = async (source: StreamSegment): Promise<void> => {
      const excluded = new Set([source.member.upstream.id, ...enginesWithoutRoom]);
      const target = placement.place(
        excluded,
        progress.events(),
        source.member.upstream.dataCentre,
      );
      if (target === undefined) {
        stream.logStep('no engine to move to', source.member);
        enginesWithoutRoom.clear();
        await pause(moveRetryMs);
        return;
      }
      const copy = await copyTo(source, target);
      if (copy !== undefined) {
        target.ownRuns.delete(copyKey);
        await switchOver(source, target, copy, 'copied');
      }
    };

    const move = async (reason: string): Promise<void> => {
      const source = stream.segment();
      if (source === undefined || copying || call.isEnded()) {
        return;
      }
      copying = true;
      try {
        const standby = stream.standby();
        if (
          standby !== undefined &&
          canSwitchOver(standby, context.cluster.withdrawn, clock.monotonicMs())
        ) {
          await switchOver(source, standby.holder, standby.copy, reason);
        } else {
          await moveByCopy(source);
        }
      } finally {
        copying = false;
      }
    };

    return { isCopying: () => copying, move };
  },
};
