import { errorResponses, Failure } from '@zinniagrade/errors';
import type { ErrorKind, Milliseconds, ExecutionStatus } from '@zinniagrade/types';
import type { Agent } from 'undici';
import { request } from 'undici';
import { z } from 'zod';
import type { EntryAddress } from './caller-api.js';

export type NodeAddress = Pick<EntryAddress, 'host' | 'port'>;

/** Why a request failed, and what is known about its execution. */
export interface RequestFailure {
  readonly failure: Failure;
  /** `not-run` only if the node's response, or the lack of a connection, proves it. */
  readonly ran: ExecutionStatus;
  /** Whether a node answered, the connection broke, or the request never left this process. */
  readonly cause: 'answered' | 'cut' | 'never-sent';
}

/** The response of a node: the body, a problem document, or a broken connection (`cut`). */
export type NodeResponse =
  | { readonly kind: 'ok'; readonly body: AsyncIterable<Buffer> }
  | { readonly kind: 'problem'; readonly failure: RequestFailure }
  | { readonly kind: 'cut'; readonly failure: RequestFailure };

export interface NodeRequest {
  readonly method: 'GET' | 'POST' | 'DELETE';
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: unknown;
  readonly timeoutMs: Milliseconds;
}

/** Error codes that occur only while connecting, so that no byte of the request was sent. */
const connectErrorCodes: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

const isErrorKind = (kind: string): kind is ErrorKind => Object.hasOwn(errorResponses, kind);

const problemSchema = z.object({
  kind: z.string().refine(isErrorKind),
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

/** Reads a whole JSON body. Throws if the body is truncated or is not JSON. */
export const readJson = async (body: AsyncIterable<Buffer>): Promise<unknown> =>
  JSON.parse(await readText(body)) as unknown;

export const connectionFailure = (error: unknown): RequestFailure => {
  const { code = '', message } = error as NodeJS.ErrnoException;
  const neverSent = connectErrorCodes.has(code);
  return {
    failure: Failure.create(neverSent ? 'upstream-unreachable' : 'outcome-unknown', message),
    ran: neverSent ? 'not-run' : 'unknown',
    cause: neverSent ? 'never-sent' : 'cut',
  };
};

/** Sends one request to one node. Parses a problem document; does not read the body of a success. */
export const sendRequest = async (
  agent: Agent,
  address: NodeAddress,
  { method, path, headers, body, timeoutMs }: NodeRequest,
): Promise<NodeResponse> => {
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
    const parsed = problemSchema.parse(await readJson(response.body as AsyncIterable<Buffer>));
    return {
      kind: 'problem',
      failure: {
        failure: Failure.create(parsed.kind, parsed.detail, parsed.retryAfterMs),
        ran: parsed.ran,
        cause: 'answered',
      },
    };
  } catch (error) {
    return { kind: 'cut', failure: connectionFailure(error) };
  }
};
