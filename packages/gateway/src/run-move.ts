import type { FleetMember } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import { isReady, type Standby } from './standby.js';
import type { StreamLeg } from './stream-leg.js';
import type { StreamPlacement } from './stream-placement.js';
import type { StreamProgress } from './stream-progress.js';
import type { RunCopy } from './upstream-client.js';

/** The stream that is moved. */
export interface MovedStream {
  readonly leg: () => StreamLeg | undefined;
  readonly standby: () => Standby | undefined;
  readonly continueAt: (holder: FleetMember, copy: RunCopy, reason: string) => void;
  readonly note: (outcome: string, member?: FleetMember, detail?: string) => void;
}

/** Moves the run of a stream to another engine while it goes on. */
export interface RunMove {
  readonly isCopying: () => boolean;
  /** Settles when the stream goes on elsewhere or has to be tried again. */
  readonly move: (reason: string) => Promise<void>;
}

/** Longest wait for a copy; engines that leave at short notice are gone by then. */
const copyTimeoutMs = 2500;
/** Time before another try to move where no engine had room. */
const moveRetryMs = 60;

export const RunMove = {
  create: (
    context: ServingContext,
    call: Call,
    placement: StreamPlacement,
    progress: StreamProgress,
    stream: MovedStream,
  ): RunMove => {
    const { clock, client } = context;
    const { request } = call;
    /** Engines that had no room for a copy of this run. */
    const full = new Set<string>();
    const moveKey = `${request.id}#copy`;
    let copying = false;

    /** Copies the run's memory while it goes on. The holder's memory counts as used meanwhile. */
    const copyTo = async (from: StreamLeg, target: FleetMember): Promise<RunCopy | undefined> => {
      target.ownRuns.set(moveKey, {
        requestId: request.id,
        sentAtMs: clock.monotonicMs(),
        promptTokens: 0,
        expectedTokens: placement.expectedTokens(progress.events()),
        hasBegun: true,
        isBackup: true,
      });
      context.useChanged();
      const askedAtMs = clock.monotonicMs();
      const copied = await client.copyRun(
        from.member.upstream,
        request.id,
        target.upstream,
        false,
        copyTimeoutMs,
      );
      stream.note(
        `copy: ${copied.outcome}`,
        target,
        `${String(Math.round(clock.monotonicMs() - askedAtMs))} ms`,
      );
      if (copied.outcome === 'copied') {
        if (!call.isOver() && !from.isClosed()) {
          return copied.copy;
        }
        client.dropCopy(from.member.upstream, copied.copy);
      }
      if (copied.outcome === 'no-room') {
        full.add(target.upstream.id);
      }
      target.ownRuns.delete(moveKey);
      context.useChanged();
      return undefined;
    };

    const moveByCopy = async (from: StreamLeg): Promise<void> => {
      const without = new Set([from.member.upstream.id, ...full]);
      const target = placement.place(without, progress.events(), from.member.upstream.dataCentre);
      if (target === undefined) {
        stream.note('no engine to move to', from.member);
        full.clear();
        await new Promise<void>((resolve) => {
          clock.after(moveRetryMs, resolve);
        });
        return;
      }
      const copy = await copyTo(from, target);
      if (copy !== undefined) {
        target.ownRuns.delete(moveKey);
        from.close();
        stream.continueAt(target, copy, 'copied');
      }
    };

    const move = async (reason: string): Promise<void> => {
      const from = stream.leg();
      if (from === undefined || copying || call.isOver()) {
        return;
      }
      copying = true;
      try {
        const standby = stream.standby();
        if (
          standby !== undefined &&
          isReady(standby, context.view.withdrawn, clock.monotonicMs())
        ) {
          from.close();
          stream.continueAt(standby.holder, standby.copy, reason);
        } else {
          await moveByCopy(from);
        }
      } finally {
        copying = false;
      }
    };

    return { isCopying: () => copying, move };
  },
};
