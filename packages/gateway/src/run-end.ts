import type { Clock } from '@zinniagrade/clock';
import type { Upstream } from '@zinniagrade/serving';
import type { Log } from './log.js';
import { RunListCheck, runListIntervalMs } from './run-list.js';
import type { CopyOutcome, RunCopy, UpstreamClient } from './upstream-client.js';

/**
 * What is known of a run that is to go on at another engine. `ended`: the engine no longer works on
 * it; if it was stopped for this, `copy` is its memory at the target. `unknown`: the engine can't be
 * reached, or says nothing of it. `running`: the engine still works on it.
 */
export type RunEnd =
  | { readonly kind: 'ended'; readonly copy?: RunCopy }
  | { readonly kind: 'unknown' }
  | { readonly kind: 'running' };

/** Dependencies of `awaitRunEnd`. */
export interface RunEndContext {
  readonly clock: Clock;
  readonly log: Log;
  readonly client: Pick<UpstreamClient, 'copyRun' | 'dropCopy' | 'listRuns'>;
}

/** A run whose connection this node has closed or lost. */
export interface ClosedRun {
  readonly upstream: Upstream;
  readonly requestId: string;
  /** Time of the run's first event; undefined if there was none. */
  readonly begunAtMs: number | undefined;
  /** Engine that gets the memory of the run if it has to be stopped; undefined if there is none. */
  readonly target: Upstream | undefined;
  /** Whether the engine knows the call that stops and copies a run. */
  readonly movable: boolean;
  /** Longest wait for a word of the engine. */
  readonly maxWaitMs: number;
}

/** Longest wait while the engine lists the run, as a multiple of `maxWaitMs`. */
const listedWaitFactor = 3;
/** A copy takes its time, but the run stops before it, so the list of runs tells its end earlier. */
const copyTimeoutMs = 2500;
const stopRetryMs = 60;

/** Whether the reply to a stop proves that the engine doesn't work on the run any more. */
export const provesEnd = (stopped: CopyOutcome): boolean => {
  switch (stopped.outcome) {
    case 'copied':
    case 'no-such-run':
      return true;
    case 'no-room':
      // A run that was stopped has a copy at its own engine.
      return stopped.copy !== undefined;
    case 'busy':
      return false;
    case 'unreachable':
      return stopped.processEnded;
  }
};

/**
 * Resolves when an engine no longer works on a run, or when its word can't be had in time. A closed
 * connection proves nothing: the close may not arrive, and some engines go on with the run. So the
 * engine is told to stop the run and asked for its list of runs, over new connections, as others to
 * it may be silent. Most engines have dropped the run by then and answer at once.
 */
export const awaitRunEnd = (context: RunEndContext, run: ClosedRun): Promise<RunEnd> => {
  const { clock, client, log } = context;
  const { upstream, requestId, target, maxWaitMs } = run;
  const askedAtMs = clock.monotonicMs();

  return new Promise((resolve) => {
    const list = RunListCheck.create(clock, requestId, run.begunAtMs);
    let settled = false;

    const settle = (end: RunEnd, source: string): void => {
      settled = true;
      cancelLists();
      log.decision('run end', {
        request: requestId,
        upstream: upstream.id,
        outcome: end.kind,
        source,
        copied: end.kind === 'ended' && end.copy !== undefined,
        afterMs: Math.round(clock.monotonicMs() - askedAtMs),
      });
      resolve(end);
    };

    const onStopReply = (stopped: CopyOutcome): void => {
      const copy =
        stopped.outcome === 'copied' || stopped.outcome === 'no-room' ? stopped.copy : undefined;
      const isUsable = !settled && stopped.outcome === 'copied';
      if (copy !== undefined && !isUsable) {
        client.dropCopy(upstream, copy);
      }
      if (settled) {
        return;
      }
      if (provesEnd(stopped)) {
        settle(
          isUsable && copy !== undefined ? { kind: 'ended', copy } : { kind: 'ended' },
          stopped.outcome,
        );
        return;
      }
      clock.after(stopRetryMs, askToStop);
    };

    const askToStop = (): void => {
      if (settled || !run.movable || target === undefined) {
        return;
      }
      client
        .copyRun(upstream, requestId, target, true, copyTimeoutMs)
        .then(onStopReply, (error: unknown) => {
          log.event('failed to stop a run', { request: requestId, reason: String(error) });
        });
    };

    const readList = async (): Promise<void> => {
      const runs = await client.listRuns(upstream);
      if (settled) {
        return;
      }
      runs.ifRight((ids) => {
        if (list.provesEnd(ids)) {
          settle({ kind: 'ended' }, 'list of runs');
        }
      });
    };

    const checkLists = (): void => {
      const waitedMs = clock.monotonicMs() - askedAtMs;
      if (waitedMs >= maxWaitMs && !list.isListed()) {
        settle({ kind: 'unknown' }, 'no word in time');
        return;
      }
      if (waitedMs >= maxWaitMs * listedWaitFactor) {
        settle({ kind: 'running' }, 'list of runs');
        return;
      }
      readList().catch((error: unknown) => {
        log.event('failed to list runs', { upstream: upstream.id, reason: String(error) });
      });
    };

    const cancelLists = clock.every(runListIntervalMs, checkLists);
    askToStop();
  });
};
