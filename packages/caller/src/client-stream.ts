import { errorResponses, Failure } from '@zinniagrade/errors';
import type { ErrorKind, ServiceId } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import { z } from 'zod';
import type { ClientContext } from './caller-client.js';
import type { NodeAddress, NodeResponse } from './client-request.js';
import { sendRequest } from './client-request.js';
import type { StreamEvent } from './event-reader.js';
import { readEvents } from './event-reader.js';

/** Limit on consecutive requests for one generation that yield no token. */
const maxAttempts = 10;
/** Linear backoff step. All waits together exceed the time in which nodes detect a failed node. */
const backoffStepMs = 100;
const streamTimeoutMs = 60_000;

export interface ClientGeneration {
  readonly prompt: string;
  readonly maxTokens?: number;
  readonly priority?: number;
  /** Whether tokens already received may be invalidated and replaced by a new generation. */
  readonly restart?: boolean;
  readonly onToken?: (text: string, index: number) => void;
  /** Called when all tokens received so far are invalid. */
  readonly onRestart?: () => void;
}

/** The complete output; all tokens belong to the same generation. */
export interface CompleteGeneration {
  readonly generation: string;
  readonly tokens: readonly string[];
  readonly text: string;
  /** Number of times the stream was resumed after its connection broke. */
  readonly resumes: number;
  readonly restarts: number;
}

/** The part of a generation received so far. */
interface ReceivedGeneration {
  generation: string | undefined;
  readonly tokens: string[];
  resumeToken: string | undefined;
  resumes: number;
  restarts: number;
}

/** Failures after which another node is more likely to succeed. */
const failoverKinds: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'upstream-unreachable',
  'leaving',
  'isolated',
]);

type StreamEnd =
  | { readonly kind: 'complete' }
  | { readonly kind: 'cut'; readonly detail: string }
  | { readonly kind: 'failed'; readonly failure: Failure };

const tokenSchema = z.object({ generation: z.string(), index: z.number(), text: z.string() });
const endSchema = z.object({ generation: z.string(), tokens: z.number() });
const restartSchema = z.object({ generation: z.string() });
const problemSchema = z.object({ kind: z.string(), detail: z.string() });

const protocolViolation = (detail: string): StreamEnd => ({
  kind: 'failed',
  failure: Failure.create('protocol-violation', detail),
});

const discardTokens = (received: ReceivedGeneration): void => {
  received.generation = undefined;
  received.tokens.length = 0;
  received.resumeToken = undefined;
  received.restarts += 1;
};

const receiveToken = (
  received: ReceivedGeneration,
  request: ClientGeneration,
  { id, data }: StreamEvent,
): StreamEnd | undefined => {
  const token = tokenSchema.parse(JSON.parse(data));
  received.generation ??= token.generation;
  if (token.generation !== received.generation || token.index !== received.tokens.length) {
    return protocolViolation(
      `token ${token.index} of generation ${token.generation} is out of order`,
    );
  }
  received.tokens.push(token.text);
  received.resumeToken = id;
  request.onToken?.(token.text, token.index);
  return undefined;
};

/** Handles one event. Returns how the stream ended, or `undefined` if it continues. */
const handleEvent = (
  received: ReceivedGeneration,
  request: ClientGeneration,
  event: StreamEvent,
): StreamEnd | undefined => {
  switch (event.event) {
    case 'token':
      return receiveToken(received, request, event);
    case 'restart':
      if (request.restart !== true) {
        return protocolViolation('the stream restarted although the request does not allow it');
      }
      discardTokens(received);
      received.generation = restartSchema.parse(JSON.parse(event.data)).generation;
      request.onRestart?.();
      return undefined;
    case 'end': {
      const { generation, tokens } = endSchema.parse(JSON.parse(event.data));
      received.generation ??= generation;
      return generation === received.generation && tokens === received.tokens.length
        ? { kind: 'complete' }
        : protocolViolation(`the stream ended after ${received.tokens.length} of ${tokens} tokens`);
    }
    case 'error': {
      const { kind, detail } = problemSchema.parse(JSON.parse(event.data));
      return {
        kind: 'failed',
        failure: Failure.create(
          kind === 'generation-lost' ? 'generation-lost' : 'outcome-unknown',
          `${kind}: ${detail}`,
        ),
      };
    }
    default:
      return undefined;
  }
};

const readStream = async (
  body: AsyncIterable<Buffer>,
  received: ReceivedGeneration,
  request: ClientGeneration,
): Promise<StreamEnd> => {
  try {
    for await (const event of readEvents(body)) {
      const end = handleEvent(received, request, event);
      if (end !== undefined) {
        return end;
      }
    }
    return { kind: 'cut', detail: 'the connection closed before the end of the stream' };
  } catch (error) {
    return { kind: 'cut', detail: String(error) };
  }
};

const openStream = (
  { agent, headers }: ClientContext,
  address: NodeAddress,
  service: ServiceId,
  received: ReceivedGeneration,
  { prompt, maxTokens, priority, restart }: ClientGeneration,
): Promise<NodeResponse> => {
  if (received.resumeToken !== undefined) {
    received.resumes += 1;
    return sendRequest(agent, address, {
      method: 'GET',
      path: '/v1/generations',
      headers: { ...headers, 'last-event-id': received.resumeToken },
      timeoutMs: streamTimeoutMs,
    });
  }
  return sendRequest(agent, address, {
    method: 'POST',
    path: `/v1/services/${encodeURIComponent(service)}/generations`,
    headers,
    body: { prompt, maxTokens, priority, restart },
    timeoutMs: streamTimeoutMs,
  });
};

/** Whether to retry, restart with a new generation, or give up. */
const nextStepAfter = (
  failure: Failure,
  received: ReceivedGeneration,
  request: ClientGeneration,
): 'again' | 'restart' | 'give-up' => {
  if (failure.kind === 'generation-lost') {
    return received.tokens.length === 0 || request.restart === true ? 'restart' : 'give-up';
  }
  return errorResponses[failure.kind].retriable ? 'again' : 'give-up';
};

/**
 * Receives a complete generation. When a connection breaks, the stream is resumed at another node
 * from the next token. Text of two generations is never joined.
 */
export const generateFromClient = async (
  context: ClientContext,
  service: ServiceId,
  request: ClientGeneration,
): Promise<Either<Failure, CompleteGeneration>> => {
  const received: ReceivedGeneration = {
    generation: undefined,
    tokens: [],
    resumeToken: undefined,
    resumes: 0,
    restarts: 0,
  };
  let lastFailure = Failure.create('no-upstream', 'no request was sent to any node');
  let attempts = 0;
  for (let requestCount = 0; attempts < maxAttempts; requestCount += 1) {
    const addresses = await context.addresses.get(service);
    if (addresses.isLeft()) {
      return Left(addresses.swap().unsafeCoerce());
    }
    const list = addresses.unsafeCoerce();
    const address = list[requestCount % list.length];
    if (address === undefined) {
      break;
    }
    attempts += 1;
    const tokensBefore = received.tokens.length;
    const response = await openStream(context, address, service, received, request);
    let failure: Failure;
    if (response.kind === 'ok') {
      const end = await readStream(response.body, received, request);
      if (end.kind === 'complete') {
        const { generation = '', tokens, resumes, restarts } = received;
        return Right({ generation, tokens, text: tokens.join(''), resumes, restarts });
      }
      attempts = received.tokens.length > tokensBefore ? 0 : attempts;
      failure =
        end.kind === 'cut' ? Failure.create('upstream-unreachable', end.detail) : end.failure;
    } else {
      // A generation may run twice: the text of a broken attempt is not used.
      failure =
        response.kind === 'cut'
          ? Failure.create('upstream-unreachable', response.failure.failure.detail)
          : response.failure.failure;
    }
    lastFailure = failure;
    const next = nextStepAfter(failure, received, request);
    if (next === 'give-up') {
      return Left(failure);
    }
    if (next === 'restart') {
      discardTokens(received);
      request.onRestart?.();
    }
    if (failoverKinds.has(failure.kind)) {
      context.addresses.invalidate(service, address);
    }
    await context.wait(Math.min(2_000, failure.retryAfterMs ?? backoffStepMs * attempts));
  }
  return Left(
    received.tokens.length > 0
      ? Failure.create(
          'outcome-unknown',
          `the stream could not be resumed; last error: ${lastFailure.detail}`,
        )
      : lastFailure,
  );
};
