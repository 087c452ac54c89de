import type { FleetMember } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import { ContinuationCopies } from './continuation-copies.js';
import { copyTimeoutMs, type PlannedStop, type PlannedStops } from './planned-stop.js';
import { canRecover, canSwitchOver, type HeldCopy, type Standby } from './standby.js';
import type { StreamSegment } from './stream-segment.js';
import type { StreamPlacement } from './stream-placement.js';
import type { StreamProgress } from './stream-progress.js';
import type { RunCopy } from './upstream-client.js';

/** Access to the stream that is moved. */
export interface MigratingStream {
  readonly segment: () => StreamSegment | undefined;
  readonly standby: () => Standby | undefined;
  /** Sets the copy from which the stream goes on if its engine is lost. */
  readonly setStandby: (standby: Standby) => void;
  /** Stops the run; its connection stays open until the engine has confirmed that. */
  readonly stop: PlannedStops['stop'];
  /** Continues the stopped run from the first of the copies that an engine takes. */
  readonly continueFrom: (copies: ContinuationCopies, reason: string) => Promise<void>;
  readonly logStep: (outcome: string, member?: FleetMember, detail?: string) => void;
}

/** Moves a stream to another engine while its run continues. */
export interface StreamMigration {
  readonly isCopying: () => boolean;
  /** Resolves when the stream continues elsewhere or the move has to be retried. */
  readonly move: (reason: string) => Promise<void>;
  /**
   * Moves a stream whose engine is silent to its backup, which may not have arrived yet; resolves
   * with what became of the stop, undefined if none was possible.
   */
  readonly moveSilent: (
    reason: string,
    maxWaitMs: number,
  ) => Promise<PlannedStop['kind'] | undefined>;
  /** Excludes an engine that refused to continue the run from the next copies. */
  readonly onRefused: (member: FleetMember) => void;
}

/** A copy that was made for a move while the run went on. */
interface PreparedCopy {
  readonly source: StreamSegment;
  readonly held: HeldCopy;
}

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
    /** Kept if its run could not be stopped, so that the next attempt copies only what is new. */
    let prepared: PreparedCopy | undefined;

    const pause = (durationMs: number): Promise<void> =>
      new Promise((resolve) => {
        clock.after(durationMs, resolve);
      });

    const releaseMemory = (holder: FleetMember): void => {
      holder.ownRuns.delete(copyKey);
      context.onUseChanged();
    };

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
      releaseMemory(target);
      return undefined;
    };

    const forgetPrepared = (): void => {
      if (prepared !== undefined) {
        releaseMemory(prepared.held.holder);
        prepared = undefined;
      }
    };

    const dropPrepared = (): void => {
      if (prepared !== undefined) {
        client.dropCopy(prepared.source.member.upstream, prepared.held.copy);
        forgetPrepared();
      }
    };
    call.onEnded(dropPrepared);

    /**
     * Stops the run at its engine and continues it from a copy. A run that is not confirmed to have
     * stopped stays at its engine.
     */
    const switchOver = async (
      source: StreamSegment,
      target: HeldCopy,
      backup: HeldCopy | undefined,
      reason: string,
      maxWaitMs?: number,
    ): Promise<PlannedStop['kind']> => {
      if (context.cluster.withdrawn.has(target.holder.upstream.dataCentre)) {
        // Withdrawn while the copy was made.
        return 'running';
      }
      const stop = await stream.stop(source, target.holder, maxWaitMs);
      if (stop.kind !== 'stopped') {
        if (stop.kind !== 'superseded') {
          stream.logStep('stays', source.member, stop.kind);
        }
        return stop.kind;
      }
      if (stop.memory?.isAtTarget === false) {
        enginesWithoutRoom.add(target.holder.upstream.id);
      }
      const preparedCopy = prepared?.held.copy;
      forgetPrepared();
      await stream.continueFrom(
        ContinuationCopies.create(context, call, {
          source: source.member,
          target,
          stop,
          backup,
          prepared: preparedCopy,
        }),
        reason,
      );
      return stop.kind;
    };

    /** Delays the next move of a run that stays. */
    const pauseUnlessMoved = async (kind: PlannedStop['kind']): Promise<void> => {
      if (kind === 'running' || kind === 'unanswered') {
        await pause(copyRetryMs);
      }
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
      dropPrepared();
      const copy = await copyTo(source, target);
      if (copy === undefined) {
        return;
      }
      const backup = stream.standby();
      const held: HeldCopy = { holder: target, copy };
      prepared = { source, held };
      stream.setStandby({ ...held, readyAtMs: clock.monotonicMs() });
      await pauseUnlessMoved(await switchOver(source, held, backup, 'copied'));
    };

    /** Does nothing if the stream is being moved already. */
    const moveOnce = async <Moved>(
      moveFrom: (source: StreamSegment) => Promise<Moved>,
    ): Promise<Moved | undefined> => {
      const source = stream.segment();
      if (source === undefined || copying || call.isEnded()) {
        return undefined;
      }
      copying = true;
      if (prepared !== undefined && prepared.source !== source) {
        forgetPrepared();
      }
      try {
        return await moveFrom(source);
      } finally {
        copying = false;
      }
    };

    const move = (reason: string): Promise<void> =>
      moveOnce(async (source) => {
        const standby = stream.standby();
        if (
          standby !== undefined &&
          canSwitchOver(standby, context.cluster.withdrawn, clock.monotonicMs())
        ) {
          await pauseUnlessMoved(await switchOver(source, standby, standby, reason));
        } else {
          await moveByCopy(source);
        }
      });

    return {
      isCopying: () => copying,
      move,
      moveSilent: (reason, maxWaitMs) =>
        moveOnce(async (source) => {
          const standby = stream.standby();
          return standby !== undefined &&
            canRecover(standby, context.cluster.withdrawn, clock.monotonicMs())
            ? switchOver(source, standby, standby, reason, maxWaitMs)
            : undefined;
        }),
      onRefused: ({ upstream }) => {
        enginesWithoutRoom.add(upstream.id);
      },
    };
  },
};
