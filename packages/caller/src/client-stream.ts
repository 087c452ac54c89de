import { errorResponses, Failure } from '@zinniagrade/errors';
import type { ErrorKind, ServiceId } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import { z } from 'zod';
import type { ClientParts } from './caller-client.js';
import type { CallerAddress, NodeAnswer } from './client-request.js';
import { askNode } from './client-request.js';
import type { StreamEvent } from './event-reader.js';
import { readEvents } from './event-reader.js';

/** Requests that are sent for one generation without a token in between. */
const maxAttempts = 10;
/** The waits add up to more than the time in which nodes learn of a death. */
const waitStepMs = 100;
const streamTimeoutMs = 60_000;

export interface ClientGeneration {
  readonly prompt: string;
  readonly maxTokens?: number;
  readonly priority?: number;
  /** Whether tokens that were received may be declared void and replaced by another generation. */
  readonly restart?: boolean;
  readonly onToken?: (text: string, index: number) => void;
  /** All tokens so far are void. */
  readonly onRestart?: () => void;
}

/** The whole answer; its tokens are of one generation. */
export interface CompleteGeneration {
  readonly generation: string;
  readonly tokens: readonly string[];
  readonly text: string;
  /** Streams that were opened at another node after a cut. */
  readonly resumes: number;
  readonly restarts: number;
}

/** What has been received of one generation. */
interface Collected {
  generation: string | undefined;
  readonly tokens: string[];
  resumeToken: string | undefined;
  resumes: number;
  restarts: number;
}

/** Failures after which another node is more likely to answer. */
const movesOn: ReadonlySet<ErrorKind> = new Set<ErrorKind>([
  'upstream-unreachable',
  'leaving',
  'isolated',
]);

type StreamEnd =
  | { readonly kind: 'complete' }
  | { readonly kind: 'cut'; readonly detail: string }
  | { readonly kind: 'failed'; readonly failure: Failure };

const tokenData = z.object({ generation: z.string(), index: z.number(), text: z.string() });
const endData = z.object({ generation: z.string(), tokens: z.number() });
const restartData = z.object({ generation: z.string() });
const problemData = z.object({ kind: z.string(), detail: z.string() });

const violation = (detail: string): StreamEnd => ({
  kind: 'failed',
  failure: Failure.create('protocol-violation', detail),
});

const clear = (collected: Collected): void => {
  collected.generation = undefined;
  collected.tokens.length = 0;
  collected.resumeToken = undefined;
  collected.restarts += 1;
};

const takeToken = (
  collected: Collected,
  asked: ClientGeneration,
  { id, data }: StreamEvent,
): StreamEnd | undefined => {
  const token = tokenData.parse(JSON.parse(data));
  collected.generation ??= token.generation;
  if (token.generation !== collected.generation || token.index !== collected.tokens.length) {
    return violation(`token ${token.index} of ${token.generation} does not follow`);
  }
  collected.tokens.push(token.text);
  collected.resumeToken = id;
  asked.onToken?.(token.text, token.index);
  return undefined;
};

/** Takes in one event; the result is the end of the stream, if it is one. */
const takeEvent = (
  collected: Collected,
  asked: ClientGeneration,
  event: StreamEvent,
): StreamEnd | undefined => {
  switch (event.event) {
    case 'token':
      return takeToken(collected, asked, event);
    case 'restart':
      if (asked.restart !== true) {
        return violation('a restart that was not asked for');
      }
      clear(collected);
      collected.generation = restartData.parse(JSON.parse(event.data)).generation;
      asked.onRestart?.();
      return undefined;
    case 'end': {
      const { generation, tokens } = endData.parse(JSON.parse(event.data));
      collected.generation ??= generation;
      return generation === collected.generation && tokens === collected.tokens.length
        ? { kind: 'complete' }
        : violation(`an end after ${collected.tokens.length} of ${tokens} tokens`);
    }
    case 'error': {
      const { kind, detail } = problemData.parse(JSON.parse(event.data));
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
  collected: Collected,
  asked: ClientGeneration,
): Promise<StreamEnd> => {
  try {
    for await (const event of readEvents(body)) {
      const end = takeEvent(collected, asked, event);
      if (end !== undefined) {
        return end;
      }
    }
    return { kind: 'cut', detail: 'the stream stopped without an end' };
  } catch (error) {
    return { kind: 'cut', detail: String(error) };
  }
};

const openStream = (
  { agent, headers }: ClientParts,
  address: CallerAddress,
  service: ServiceId,
  collected: Collected,
  { prompt, maxTokens, priority, restart }: ClientGeneration,
): Promise<NodeAnswer> => {
  if (collected.resumeToken !== undefined) {
    collected.resumes += 1;
    return askNode(agent, address, {
      method: 'GET',
      path: '/v1/generations',
      headers: { ...headers, 'last-event-id': collected.resumeToken },
      timeoutMs: streamTimeoutMs,
    });
  }
  return askNode(agent, address, {
    method: 'POST',
    path: `/v1/services/${encodeURIComponent(service)}/generations`,
    headers,
    body: { prompt, maxTokens, priority, restart },
    timeoutMs: streamTimeoutMs,
  });
};

/** Whether the request is worth sending again, and what is lost by it. */
const afterFailure = (
  failure: Failure,
  collected: Collected,
  asked: ClientGeneration,
): 'again' | 'restart' | 'give-up' => {
  if (failure.kind === 'generation-lost') {
    return collected.tokens.length === 0 || asked.restart === true ? 'restart' : 'give-up';
  }
  return errorResponses[failure.kind].retriable ? 'again' : 'give-up';
};

/**
 * A whole generation. After a cut it is resumed at another node from the next token; text of two
 * generations is never joined.
 */
export const generateFromClient = async (
  parts: ClientParts,
  service: ServiceId,
  asked: ClientGeneration,
): Promise<Either<Failure, CompleteGeneration>> => {
  const collected: Collected = {
    generation: undefined,
    tokens: [],
    resumeToken: undefined,
    resumes: 0,
    restarts: 0,
  };
  let last = Failure.create('no-upstream', 'no node was asked');
  let attempts = 0;
  for (let turn = 0; attempts < maxAttempts; turn += 1) {
    const addresses = await parts.addresses.get(service);
    if (addresses.isLeft()) {
      return Left(addresses.swap().unsafeCoerce());
    }
    const list = addresses.unsafeCoerce();
    const address = list[turn % list.length];
    if (address === undefined) {
      break;
    }
    attempts += 1;
    const before = collected.tokens.length;
    const answer = await openStream(parts, address, service, collected, asked);
    let failure: Failure;
    if (answer.kind === 'ok') {
      const end = await readStream(answer.body, collected, asked);
      if (end.kind === 'complete') {
        const { generation = '', tokens, resumes, restarts } = collected;
        return Right({ generation, tokens, text: tokens.join(''), resumes, restarts });
      }
      attempts = collected.tokens.length > before ? 0 : attempts;
      failure =
        end.kind === 'cut' ? Failure.create('upstream-unreachable', end.detail) : end.failure;
    } else {
      // A generation may run twice: the text of an attempt that was cut off is not used.
      failure =
        answer.kind === 'cut'
          ? Failure.create('upstream-unreachable', answer.failure.failure.detail)
          : answer.failure.failure;
    }
    last = failure;
    const next = afterFailure(failure, collected, asked);
    if (next === 'give-up') {
      return Left(failure);
    }
    if (next === 'restart') {
      clear(collected);
      asked.onRestart?.();
    }
    if (movesOn.has(failure.kind)) {
      parts.addresses.forget(service, address);
    }
    await parts.wait(Math.min(2_000, failure.retryAfterMs ?? waitStepMs * attempts));
  }
  return Left(
    collected.tokens.length > 0
      ? Failure.create('outcome-unknown', `the stream could not be resumed: ${last.detail}`)
      : last,
  );
};
