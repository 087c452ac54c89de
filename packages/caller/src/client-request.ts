import { errorResponses, Failure } from '@zinniagrade/errors';
import type { ErrorKind, Milliseconds, ExecutionStatus } from '@zinniagrade/types';
import type { Agent } from 'undici';
import { request } from 'undici';
import { z } from 'zod';
import type { EntryAddress } from './front.js';

export type CallerAddress = Pick<EntryAddress, 'host' | 'port'>;

/** A failure as a caller knows it. */
export interface CallerFailure {
  readonly failure: Failure;
  /** `unknown` unless the node's answer, or the lack of a connection, proves that nothing ran. */
  readonly ran: ExecutionStatus;
  /** Whether a node answered, the connection broke off, or the request never left this process. */
  readonly cause: 'answered' | 'cut' | 'never-sent';
}

/** The answer of a node: its status and body, or the reason why there is none. */
export type NodeAnswer =
  | { readonly kind: 'ok'; readonly body: AsyncIterable<Buffer> }
  | { readonly kind: 'problem'; readonly failure: CallerFailure }
  | { readonly kind: 'cut'; readonly failure: CallerFailure };

export interface NodeRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs: Milliseconds;
}

/** Errors that only a connection attempt gives, so that no byte of the request has left. */
const connectErrors: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

const isKind = (kind: string): kind is ErrorKind => Object.hasOwn(errorResponses, kind);

const problem = z.object({
  kind: z.string().refine(isKind),
  ran: z.enum(['not-run', 'unknown']),
  detail: z.string(),
  retryAfterMs: z.number().optional(),
});

const readText = async (body: AsyncIterable<Buffer>): Promise<string> => {
  const chunks: Buffer[] = [];
  for await (const chunk of body) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
};

/** The whole JSON body of an answer; throws when the body is cut off or is not JSON. */
export const readJson = async (body: AsyncIterable<Buffer>): Promise<unknown> =>
  JSON.parse(await readText(body)) as unknown;

export const cutFailure = (error: unknown): CallerFailure => {
  const { code = '', message } = error as NodeJS.ErrnoException;
  const neverSent = connectErrors.has(code);
  return {
    failure: Failure.create(neverSent ? 'upstream-unreachable' : 'outcome-unknown', message),
    ran: neverSent ? 'not-run' : 'unknown',
    cause: neverSent ? 'never-sent' : 'cut',
  };
};

/** Sends one request to one node. Problem documents are read; another body is left to the caller. */
export const askNode = async (
  agent: Agent,
  address: CallerAddress,
  { method, path, headers, body, timeoutMs }: NodeRequest,
): Promise<NodeAnswer> => {
  try {
    const response = await request(`http://${address.host}:${address.port}${path}`, {
      dispatcher: agent,
      method,
      headers: {
        ...headers,
        ...(body === undefined ? {} : { 'content-type': 'application/json' }),
      },
      body: body === undefined ? null : JSON.stringify(body),
      headersTimeout: timeoutMs,
      bodyTimeout: timeoutMs,
    });
    if (response.statusCode === 200) {
      return { kind: 'ok', body: response.body as AsyncIterable<Buffer> };
    }
    const parsed = problem.parse(await readJson(response.body as AsyncIterable<Buffer>));
    return {
      kind: 'problem',
      failure: {
        failure: Failure.create(parsed.kind, parsed.detail, parsed.retryAfterMs),
        ran: parsed.ran,
        cause: 'answered',
      },
    };
  } catch (error) {
    return { kind: 'cut', failure: cutFailure(error) };
  }
};
