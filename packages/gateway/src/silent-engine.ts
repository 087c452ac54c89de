import type { Cancel } from '@zinniagrade/clock';
import {
  callerPatienceMs,
  maxRunEndWaitMs,
  maxSilenceMs,
  type StreamRecovery,
} from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import { watchSilence } from './silence-watch.js';
import type { StreamMigration } from './stream-migration.js';
import type { StreamProgress } from './stream-progress.js';
import type { StreamSegment } from './stream-segment.js';

/** Access to the stream whose engine is silent. */
export interface SilentEngineStream {
  readonly segment: () => StreamSegment | undefined;
  readonly recovery: () => StreamRecovery;
  /**
   * Lets the stream go on elsewhere. The wait for the engine's word on the end of the run is left out
   * for an engine that has replied to nothing.
   */
  readonly recover: (lost: StreamSegment, reason: string, isUnreachable: boolean) => void;
}

/** Takes a stream away from an engine that is silent for too long. */
export interface SilentEngine {
  /** Watches the stream until it is cancelled. */
  readonly watch: () => Cancel;
}

const silenceReason = 'the engine sent no event for too long';

/**
 * An engine that is busy, or has preempted the run, may be silent and go on. So a stream that can go
 * on from a copy is moved like one whose engine leaves: its connection stays open until the engine
 * has confirmed the stop. An engine that does not reply in time counts as lost.
 */
export const SilentEngine = {
  create: (
    context: Pick<ServingContext, 'client' | 'clock' | 'log'>,
    call: Pick<Call, 'request' | 'route' | 'isEnded'>,
    movable: boolean,
    progress: Pick<StreamProgress, 'lastEventAtMs'>,
    migration: Pick<StreamMigration, 'isCopying' | 'moveSilent'>,
    stream: SilentEngineStream,
  ): SilentEngine => {
    const { client, clock, log } = context;
    const { goalMs, gapGoalMs } = call.route;
    const maxWaitMs = maxRunEndWaitMs(callerPatienceMs(goalMs, gapGoalMs));
    let checking = false;

    const giveUp = (silent: StreamSegment, isUnreachable: boolean): void => {
      silent.close();
      stream.recover(silent, silenceReason, isUnreachable);
    };

    /** Asks the engine for its list of runs; returns whether it has replied yet. */
    const askForList = ({ member }: StreamSegment): (() => boolean) => {
      let replied = false;
      client.listRuns(member.upstream).then(
        (runs) => {
          replied = runs.isRight();
        },
        (error: unknown) => {
          log.event('failed to list runs', { upstream: member.upstream.id, reason: String(error) });
        },
      );
      return () => replied;
    };

    const check = async (silent: StreamSegment): Promise<void> => {
      const lastEventAtMs = progress.lastEventAtMs();
      const isStillSilent = (): boolean =>
        !call.isEnded() && !silent.isClosed() && progress.lastEventAtMs() === lastEventAtMs;
      // Tells a lost engine from one that takes its time for the stop: for a lost one, another wait
      // after the close would outlast the caller's patience.
      const hasReplied = askForList(silent);
      if (migration.isCopying()) {
        // The move may have stopped the run, and decides on a run whose engine replies.
        await new Promise<void>((resolve) => {
          clock.after(maxWaitMs, resolve);
        });
        if (isStillSilent() && !hasReplied()) {
          giveUp(silent, true);
        }
        return;
      }
      const askedAtMs = clock.monotonicMs();
      const stop = await migration.moveSilent(silenceReason, maxWaitMs);
      if (stop === 'unanswered' && isStillSilent()) {
        const hasWaited = clock.monotonicMs() - askedAtMs >= maxWaitMs;
        giveUp(silent, hasWaited && !hasReplied());
      }
    };

    const onSilent = (silent: StreamSegment): void => {
      if (checking) {
        return;
      }
      if (!movable || stream.recovery() !== 'continue-from-copy') {
        giveUp(silent, false);
        return;
      }
      checking = true;
      check(silent)
        .catch((error: unknown) => {
          log.event('stream recovery failed', { request: call.request.id, reason: String(error) });
        })
        .finally(() => {
          checking = false;
        });
    };

    return {
      watch: () =>
        watchSilence(clock, {
          lastProgressAtMs: () =>
            Math.max(progress.lastEventAtMs(), stream.segment()?.sentAtMs ?? 0),
          maxSilenceMs: () =>
            stream.segment()?.isClosed() === false
              ? maxSilenceMs({ goalMs, gapGoalMs, recovery: stream.recovery() })
              : Infinity,
          onSilent: () => {
            const silent = stream.segment();
            if (silent !== undefined) {
              onSilent(silent);
            }
          },
        }),
    };
  },
};
