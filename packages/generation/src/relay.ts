import { Failure } from '@zinniagrade/errors';
import type { GenerationId } from '@zinniagrade/types';

/** Limit on the new generations that one request may start after an engine has lost one. */
export const maxRestarts = 2;
/** Consecutive resumes without a token after which the generation counts as lost. */
export const maxResumesWithoutProgress = 5;

/** Progress of the relay of one request. */
export interface RelayState {
  readonly generation: GenerationId;
  /** Index of the next token to forward. */
  readonly nextIndex: number;
  /** Whether the caller has received a token of this or an earlier generation. */
  readonly callerHasTokens: boolean;
  /** Whether the request allows tokens already sent to be invalidated and replaced. */
  readonly restartAllowed: boolean;
  /** False for a resumed stream, because its node does not know the prompt. */
  readonly requestKnown: boolean;
  readonly restarts: number;
  readonly resumesWithoutProgress: number;
  readonly phase: 'reading' | 'resuming' | 'restarting' | 'over';
}

export type RelayEvent =
  | {
      readonly kind: 'chunk';
      readonly generation: GenerationId;
      readonly index: number;
      /** The chunk as the engine sent it; forwarded unchanged. */
      readonly line: string;
    }
  | { readonly kind: 'end'; readonly generation: GenerationId; readonly tokens: number }
  /** The stream broke, stalled or violated the protocol; the engine may still hold the generation. */
  | { readonly kind: 'cut' }
  /** The engine opened the resumed stream. */
  | { readonly kind: 'resumed' }
  /** The engine has stopped or no longer has the generation. */
  | { readonly kind: 'engine-lost'; readonly detail: string }
  /** A new generation replaces the lost one. */
  | { readonly kind: 'restarted'; readonly generation: GenerationId }
  /** No upstream accepted the new generation. */
  | { readonly kind: 'restart-failed'; readonly detail: string }
  | { readonly kind: 'caller-gone' };

export type RelayAction =
  | { readonly kind: 'forward'; readonly index: number; readonly line: string }
  | { readonly kind: 'resume'; readonly from: number; readonly attempt: number }
  | { readonly kind: 'restart' }
  | { readonly kind: 'announce-restart'; readonly generation: GenerationId }
  | { readonly kind: 'end'; readonly tokens: number }
  | { readonly kind: 'fail'; readonly failure: Failure }
  /** Stop the generation at the engine, because no caller can resume it. */
  | { readonly kind: 'cancel' }
  /** Leave the generation running, because the caller may resume it at another node. */
  | { readonly kind: 'detach' };

/** The result of one event: the new state and at most one action. */
export interface RelayStep {
  readonly state: RelayState;
  readonly action?: RelayAction;
}

export const RelayState = {
  create: (generation: GenerationId, restartAllowed: boolean): RelayState => ({
    generation,
    nextIndex: 0,
    callerHasTokens: false,
    restartAllowed,
    requestKnown: true,
    restarts: 0,
    resumesWithoutProgress: 0,
    phase: 'reading',
  }),
  /** The state for a stream that was started earlier, at this or another node. */
  createResumed: (generation: GenerationId, nextIndex: number): RelayState => ({
    generation,
    nextIndex,
    callerHasTokens: true,
    restartAllowed: false,
    requestKnown: false,
    restarts: 0,
    resumesWithoutProgress: 0,
    phase: 'reading',
  }),
};

const fail = (state: RelayState, failure: Failure): RelayStep => ({
  state: { ...state, phase: 'over' },
  action: { kind: 'fail', failure },
});

const restartOrFail = (state: RelayState, detail: string): RelayStep => {
  const mayRestart =
    state.requestKnown &&
    state.restarts < maxRestarts &&
    (!state.callerHasTokens || state.restartAllowed);
  return mayRestart
    ? {
        state: { ...state, phase: 'restarting', restarts: state.restarts + 1 },
        action: { kind: 'restart' },
      }
    : fail(state, Failure.create('generation-lost', detail));
};

const resume = (state: RelayState): RelayStep => {
  const attempt = state.resumesWithoutProgress + 1;
  return attempt > maxResumesWithoutProgress
    ? restartOrFail(state, `no token received in ${maxResumesWithoutProgress} attempts to resume`)
    : {
        state: { ...state, phase: 'resuming', resumesWithoutProgress: attempt },
        action: { kind: 'resume', from: state.nextIndex, attempt },
      };
};

/** The state after a token. All fields are listed: a spread costs more than the step itself. */
const afterToken = (state: RelayState): RelayState => ({
  generation: state.generation,
  nextIndex: state.nextIndex + 1,
  callerHasTokens: true,
  restartAllowed: state.restartAllowed,
  requestKnown: state.requestKnown,
  restarts: state.restarts,
  resumesWithoutProgress: 0,
  phase: state.phase,
});

const handleChunk = (
  state: RelayState,
  generation: GenerationId,
  index: number,
  line: string,
): RelayStep => {
  // A chunk of another generation means that the engine mixed up two streams, so resume this one.
  if (generation !== state.generation || index > state.nextIndex) {
    return resume(state);
  }
  return index < state.nextIndex
    ? { state }
    : { state: afterToken(state), action: { kind: 'forward', index, line } };
};

const handleEnd = (state: RelayState, generation: GenerationId, tokens: number): RelayStep => {
  if (generation !== state.generation || tokens > state.nextIndex) {
    return resume(state);
  }
  return tokens < state.nextIndex
    ? fail(
        state,
        Failure.create(
          'protocol-violation',
          `the engine reported an end after ${tokens} tokens, but has sent ${state.nextIndex}`,
        ),
      )
    : { state: { ...state, phase: 'over' }, action: { kind: 'end', tokens } };
};

/**
 * Handles one event of the relay. Each chunk is forwarded once and in order: a repeated chunk is
 * dropped, and a missing one is requested again. Text of two generations is never joined.
 */
export const stepRelay = (state: RelayState, event: RelayEvent): RelayStep => {
  if (state.phase === 'over') {
    return { state };
  }
  switch (event.kind) {
    case 'chunk':
      return state.phase === 'reading'
        ? handleChunk(state, event.generation, event.index, event.line)
        : { state };
    case 'end':
      return state.phase === 'reading'
        ? handleEnd(state, event.generation, event.tokens)
        : { state };
    case 'cut':
      return state.phase === 'restarting' ? { state } : resume(state);
    case 'resumed':
      return { state: { ...state, phase: 'reading' } };
    case 'engine-lost':
      return state.phase === 'restarting' ? { state } : restartOrFail(state, event.detail);
    case 'restarted': {
      const next: RelayState = {
        ...state,
        generation: event.generation,
        nextIndex: 0,
        resumesWithoutProgress: 0,
        phase: 'reading',
      };
      return state.callerHasTokens
        ? { state: next, action: { kind: 'announce-restart', generation: event.generation } }
        : { state: next };
    }
    case 'restart-failed':
      return fail(state, Failure.create('generation-lost', event.detail));
    case 'caller-gone':
      return {
        state: { ...state, phase: 'over' },
        action: {
          kind: state.callerHasTokens && state.phase !== 'restarting' ? 'detach' : 'cancel',
        },
      };
  }
};
