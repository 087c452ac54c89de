import { randomUUID } from 'node:crypto';
import type { StreamControl, StreamOutput } from '@zinniagrade/caller';
import { errorResponses, Failure } from '@zinniagrade/errors';
import type { RelayAction, RelayEvent } from '@zinniagrade/generation';
import { RelayState, stepRelay } from '@zinniagrade/generation';
import type { Upstream, UpstreamId } from '@zinniagrade/types';
import type { Exchange, GenerationListener } from '@zinniagrade/upstream';
import type { Placement } from './placement.js';
import type { NewRelayStart, RelayDependencies, RelayStart } from './relay-start.js';
import {
  createOrder,
  generationGoneStatuses,
  maxPlacementAttempts,
  resumeBackoffMs,
} from './relay-start.js';
import type { Work } from './work-meter.js';

/**
 * Relays one stream: carries out the actions of the relay state machine at the engine and the
 * caller.
 */
export const startRelay = (
  dependencies: RelayDependencies,
  start: RelayStart,
  output: StreamOutput,
  onEnd: () => void,
): StreamControl => {
  const { client, clock } = dependencies;
  const excluded = new Set<UpstreamId>();
  const tokenIdentity =
    start.kind === 'new' ? { ...start.request, service: start.service.id } : start.point;
  let state =
    start.kind === 'new'
      ? RelayState.create(randomUUID(), start.request.restart)
      : RelayState.createResumed(start.point.generation, start.point.nextIndex);
  let upstream: Upstream | undefined;
  let work: Work | undefined;
  let exchange: Exchange | undefined;
  /**
   * Incremented when an exchange is closed, so that late events of a closed exchange are dropped.
   */
  let epoch = 0;
  let tokenFor: (nextIndex: number) => string = () => '';
  let openGeneration = state.generation;
  let isPaused = false;
  let callerHasLeft = false;
  let isOver = false;
  let cancelAdmission: (() => void) | undefined;
  const endStream = (): void => {
    if (!isOver) {
      isOver = true;
      onEnd();
    }
  };
  const finish = (outcome: 'completed' | 'failed' | 'not-run'): void => {
    work?.finish(outcome);
    endStream();
  };
  const useUpstream = (next: Upstream, nextWork: Work): void => {
    upstream = next;
    work = nextWork;
    const { generation } = state;
    tokenFor = dependencies.resumeTokens.issuer({
      ...tokenIdentity,
      upstream: next.id,
      generation,
    });
  };
  const closeExchange = (): void => {
    epoch += 1;
    exchange?.close();
    exchange = undefined;
  };
  const cancelAtEngine = (): void => {
    void (upstream && client.cancel(upstream, openGeneration));
  };

  const apply = (event: RelayEvent): void => {
    const step = stepRelay(state, event);
    state = step.state;
    if (step.action !== undefined) {
      perform(step.action);
    }
  };
  const perform = (action: RelayAction): void => {
    switch (action.kind) {
      case 'forward':
        output.token(tokenFor(action.index + 1), state.generation, action.index, action.line);
        break;
      case 'resume':
        closeExchange();
        resumeWithBackoff(action.from, action.attempt);
        break;
      case 'restart':
        closeExchange();
        cancelAtEngine();
        work?.finish('failed');
        if (upstream !== undefined) {
          excluded.add(upstream.id);
        }
        place(randomUUID(), 1);
        break;
      case 'announce-restart':
        output.restart(action.generation);
        break;
      case 'end':
        output.end(state.generation, action.tokens);
        finish('completed');
        break;
      case 'fail':
        closeExchange();
        cancelAtEngine();
        output.fail(action.failure);
        finish('failed');
        break;
      case 'cancel':
        cancelAdmission?.();
        closeExchange();
        cancelAtEngine();
        finish('not-run');
        break;
      case 'detach':
        // The engine keeps generating, so the work stays counted until the engine's stream ends.
        callerHasLeft = true;
        if (exchange === undefined) {
          finish('not-run');
        } else {
          exchange.resume();
          endStream();
        }
        break;
    }
  };

  const createReader = (
    opened: () => void,
    broken: GenerationListener['failed'],
  ): GenerationListener => {
    const ownEpoch = epoch;
    const isCurrent = (): boolean => ownEpoch === epoch;
    let isOpen = false;
    return {
      opened: () => {
        if (isCurrent()) {
          isOpen = true;
          opened();
        }
      },
      chunk: (generation, index, line) => {
        if (isCurrent()) {
          apply({ kind: 'chunk', generation, index, line });
        }
      },
      end: (generation, tokens) => {
        if (callerHasLeft) {
          work?.finish('completed');
        } else if (isCurrent()) {
          apply({ kind: 'end', generation, tokens });
        }
      },
      flush: () => {
        if (!isCurrent() || (isOver && !callerHasLeft)) {
          return;
        }
        work?.recordTokens(clock.monotonicMs(), state.nextIndex);
        if (!callerHasLeft && !output.flush()) {
          isPaused = true;
          exchange?.pause();
        }
      },
      failed: (failure, status) => {
        if (callerHasLeft) {
          work?.finish('not-run');
        } else if (isCurrent()) {
          exchange = undefined;
          if (isOpen) {
            apply({ kind: 'cut' });
          } else {
            broken(failure, status);
          }
        }
      },
    };
  };

  const resumeWithBackoff = (from: number, attempt: number): void => {
    const ownEpoch = epoch;
    const attemptResume = (): void => {
      if (ownEpoch === epoch && state.phase === 'resuming' && upstream !== undefined) {
        exchange = client.resume(upstream, state.generation, from, createResumeReader());
      }
    };
    if (attempt === 1) {
      attemptResume();
    } else {
      clock.after(resumeBackoffMs * 2 ** (attempt - 2), attemptResume);
    }
  };
  const createResumeReader = (): GenerationListener =>
    createReader(
      () => {
        apply({ kind: 'resumed' });
      },
      (failure, status) => {
        const canStartAgain = state.requestKnown && !state.callerHasTokens;
        apply(
          generationGoneStatuses.has(status ?? 0) ||
            (failure.kind === 'upstream-unreachable' && canStartAgain)
            ? { kind: 'engine-lost', detail: `the engine lost the generation: ${failure.detail}` }
            : { kind: 'cut' },
        );
      },
    );

  const failPlacement = (failure: Failure): void => {
    if (state.phase === 'restarting') {
      apply({
        kind: 'restart-failed',
        detail: `no engine available to restart the generation: ${failure.detail}`,
      });
    } else {
      state = { ...state, phase: 'over' };
      output.fail(failure);
      finish('not-run');
    }
  };
  const place = (generation: string, attempt: number): void => {
    if (start.kind !== 'new') {
      return;
    }
    const isRestart = state.phase === 'restarting';
    // A restart gets a deadline of its own, as that of the request may have passed long ago.
    const arrivedAt = isRestart ? clock.monotonicMs() : start.placement.arrivedAt;
    const admission = { isAnswered: false };
    const cancel = dependencies.admit(
      { ...start.placement, arrivedAt, forOpenStream: isRestart },
      excluded,
      (placement) => {
        admission.isAnswered = true;
        cancelAdmission = undefined;
        placement.ifLeft(failPlacement).ifRight((found) => {
          openExchange(found, start, generation, attempt);
        });
      },
    );
    if (!admission.isAnswered) {
      cancelAdmission = cancel;
    }
  };
  const openExchange = (
    placement: Placement,
    newStart: NewRelayStart,
    generation: string,
    attempt: number,
  ): void => {
    const isRestart = state.phase === 'restarting';
    closeExchange();
    work = placement.work;
    upstream = placement.upstream;
    openGeneration = generation;
    const reader = createReader(
      () => {
        if (isRestart) {
          apply({ kind: 'restarted', generation });
        }
        useUpstream(placement.upstream, placement.work);
      },
      (failure) => {
        if (errorResponses[failure.kind].ran === 'not-run') {
          placement.reportFailure(failure);
          placement.work.finish('not-run');
          excluded.add(placement.upstream.id);
          if (attempt < maxPlacementAttempts) {
            place(generation, attempt + 1);
          } else {
            failPlacement(failure);
          }
        } else if (isRestart) {
          placement.work.finish('failed');
          void client.cancel(placement.upstream, generation);
          apply({ kind: 'restart-failed', detail: failure.detail });
        } else {
          apply({ kind: 'engine-lost', detail: failure.detail });
        }
      },
    );
    exchange = client.generate(
      placement.upstream,
      createOrder(newStart, placement.version, generation, state.restarts + 1),
      reader,
    );
  };

  if (start.kind === 'new') {
    place(state.generation, 1);
  } else {
    useUpstream(start.upstream, start.work);
    exchange = client.resume(
      start.upstream,
      start.point.generation,
      start.point.nextIndex,
      createResumeReader(),
    );
  }
  return {
    drained: () => {
      if (isPaused) {
        isPaused = false;
        exchange?.resume();
      }
    },
    callerGone: () => {
      apply({ kind: 'caller-gone' });
    },
  };
};
