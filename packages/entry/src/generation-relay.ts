import { randomUUID } from 'node:crypto';
import type { StreamControl, StreamOutput } from '@zinniagrade/caller';
import { errorResponses, Failure } from '@zinniagrade/errors';
import type { RelayAction, RelayEvent } from '@zinniagrade/generation';
import { RelayState, stepRelay } from '@zinniagrade/generation';
import type { Upstream, UpstreamId } from '@zinniagrade/types';
import type { Exchange, GenerationListener } from '@zinniagrade/upstream';
import type { Placement } from './placement.js';
import type { NewStart, RelayParts, RelayStart } from './relay-start.js';
import { createOrder, goneStatuses, maxPlacements, resumeBackoffMs } from './relay-start.js';
import type { Work } from './work-meter.js';

/** Runs the relay of one stream: applies the actions of the state machine to engine and caller. */
export const startRelay = (
  parts: RelayParts,
  start: RelayStart,
  output: StreamOutput,
  ended: () => void,
): StreamControl => {
  const { client, clock } = parts;
  const excluded = new Set<UpstreamId>();
  const identity =
    start.kind === 'new' ? { ...start.request, service: start.service.id } : start.point;
  let state =
    start.kind === 'new'
      ? RelayState.create(randomUUID(), start.request.restart)
      : RelayState.createResumed(start.point.generation, start.point.nextIndex);
  let upstream: Upstream | undefined;
  let work: Work | undefined;
  let exchange: Exchange | undefined;
  /** Raised with each stream that is opened; events of an earlier one are dropped. */
  let epoch = 0;
  let tokenFor: (nextIndex: number) => string = () => '';
  let openGeneration = state.generation;
  let paused = false;
  let callerIsGone = false;
  let over = false;
  let stopWaiting: (() => void) | undefined;
  const release = (): void => {
    if (!over) {
      over = true;
      ended();
    }
  };
  const leave = (end: 'completed' | 'failed' | 'not-run'): void => {
    work?.finish(end);
    release();
  };
  const useUpstream = (next: Upstream, nextWork: Work): void => {
    upstream = next;
    work = nextWork;
    const { generation } = state;
    tokenFor = parts.tokens.issuer({ ...identity, upstream: next.id, generation });
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
      act(step.action);
    }
  };
  const act = (action: RelayAction): void => {
    switch (action.kind) {
      case 'forward':
        output.token(tokenFor(action.index + 1), state.generation, action.index, action.line);
        break;
      case 'resume':
        closeExchange();
        resumeSoon(action.from, action.attempt);
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
        leave('completed');
        break;
      case 'fail':
        closeExchange();
        cancelAtEngine();
        output.fail(action.failure);
        leave('failed');
        break;
      case 'cancel':
        stopWaiting?.();
        closeExchange();
        cancelAtEngine();
        leave('not-run');
        break;
      case 'detach':
        // The engine goes on, so the work stays counted until the engine's stream is over.
        callerIsGone = true;
        if (exchange === undefined) {
          leave('not-run');
        } else {
          exchange.resume();
          release();
        }
        break;
    }
  };

  const createReader = (
    opened: () => void,
    broken: GenerationListener['failed'],
  ): GenerationListener => {
    const own = epoch;
    const live = (): boolean => own === epoch;
    let isOpen = false;
    return {
      opened: () => {
        if (live()) {
          isOpen = true;
          opened();
        }
      },
      chunk: (generation, index, line) => {
        if (live()) {
          apply({ kind: 'chunk', generation, index, line });
        }
      },
      end: (generation, tokens) => {
        if (callerIsGone) {
          work?.finish('completed');
        } else if (live()) {
          apply({ kind: 'end', generation, tokens });
        }
      },
      flush: () => {
        if (!live() || (over && !callerIsGone)) {
          return;
        }
        work?.token(clock.monotonicMs(), state.nextIndex);
        if (!callerIsGone && !output.flush()) {
          paused = true;
          exchange?.pause();
        }
      },
      failed: (failure, status) => {
        if (callerIsGone) {
          work?.finish('not-run');
        } else if (live()) {
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

  const resumeSoon = (from: number, attempt: number): void => {
    const own = epoch;
    const run = (): void => {
      if (own === epoch && state.phase === 'resuming' && upstream !== undefined) {
        exchange = client.resume(upstream, state.generation, from, readResumed());
      }
    };
    if (attempt === 1) {
      run();
    } else {
      clock.after(resumeBackoffMs * 2 ** (attempt - 2), run);
    }
  };
  const readResumed = (): GenerationListener =>
    createReader(
      () => {
        apply({ kind: 'resumed' });
      },
      (failure, status) => {
        const nothingToLose = state.requestKnown && !state.callerHasTokens;
        apply(
          goneStatuses.has(status ?? 0) ||
            (failure.kind === 'upstream-unreachable' && nothingToLose)
            ? { kind: 'engine-lost', detail: `the engine lost the generation: ${failure.detail}` }
            : { kind: 'cut' },
        );
      },
    );

  const failPlacement = (failure: Failure): void => {
    if (state.phase === 'restarting') {
      apply({ kind: 'restart-failed', detail: `no engine for a restart: ${failure.detail}` });
    } else {
      state = { ...state, phase: 'over' };
      output.fail(failure);
      leave('not-run');
    }
  };
  const place = (generation: string, attempt: number): void => {
    if (start.kind !== 'new') {
      return;
    }
    const restarting = state.phase === 'restarting';
    // A restart has a deadline of its own: that of the request may have passed long ago.
    const arrivedAt = restarting ? clock.monotonicMs() : start.placement.arrivedAt;
    const wait = { over: false };
    const takeBack = parts.admit(
      { ...start.placement, arrivedAt, forOpenStream: restarting },
      excluded,
      (placement) => {
        wait.over = true;
        stopWaiting = undefined;
        placement.ifLeft(failPlacement).ifRight((found) => {
          open(found, start, generation, attempt);
        });
      },
    );
    if (!wait.over) {
      stopWaiting = takeBack;
    }
  };
  const open = (
    placement: Placement,
    begin: NewStart,
    generation: string,
    attempt: number,
  ): void => {
    const restarting = state.phase === 'restarting';
    closeExchange();
    work = placement.work;
    upstream = placement.upstream;
    openGeneration = generation;
    const reader = createReader(
      () => {
        if (restarting) {
          apply({ kind: 'restarted', generation });
        }
        useUpstream(placement.upstream, placement.work);
      },
      (failure) => {
        if (errorResponses[failure.kind].ran === 'not-run') {
          placement.avoid(failure);
          placement.work.finish('not-run');
          excluded.add(placement.upstream.id);
          if (attempt < maxPlacements) {
            place(generation, attempt + 1);
          } else {
            failPlacement(failure);
          }
        } else if (restarting) {
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
      createOrder(begin, placement.version, generation, state.restarts + 1),
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
      readResumed(),
    );
  }
  return {
    drained: () => {
      if (paused) {
        paused = false;
        exchange?.resume();
      }
    },
    callerGone: () => {
      apply({ kind: 'caller-gone' });
    },
  };
};
