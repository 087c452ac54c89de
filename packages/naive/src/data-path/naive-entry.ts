import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createInterface } from 'node:readline';
import { Readable } from 'node:stream';
import { naiveCall } from './naive-call.js';
import type { NaiveUpstream } from './naive-upstreams.js';
import { NaiveUpstreams } from './naive-upstreams.js';

export interface NaiveEntrySettings {
  readonly port: number;
  readonly upstreams: readonly NaiveUpstream[];
  readonly platformPort?: number;
  /** Time without a line from the engine after which another engine is tried. */
  readonly idleMs: number;
  readonly callTimeoutMs: number;
}

export interface NaiveEntry {
  readonly port: number;
  readonly close: () => Promise<void>;
}

interface EngineLine {
  readonly generation: string;
  readonly index?: number;
  readonly text?: string;
  readonly end?: boolean;
  readonly tokens?: number;
}

const readJson = async (request: IncomingMessage): Promise<Record<string, unknown>> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return JSON.parse(Buffer.concat(chunks).toString('utf8')) as Record<string, unknown>;
};

const sendJson = (response: ServerResponse, status: number, body: unknown): void => {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
};

const writeEvent = (response: ServerResponse, upstream: NaiveUpstream, line: EngineLine): void => {
  const event = line.end === true ? 'end' : 'token';
  const id = `${upstream.id}/${line.generation}/${line.index ?? 0}`;
  response.write(`event: ${event}\nid: ${id}\ndata: ${JSON.stringify(line)}\n\n`);
};

/**
 * Copies every line of an engine's answer to the caller. The returned promise rejects after an idle
 * timeout, but lines that arrive later are still copied. This fault is deliberate: it is what a plain
 * race of a promise against a timer gives.
 */
const relayLines = async (
  answer: Response,
  upstream: NaiveUpstream,
  response: ServerResponse,
  idleMs: number,
): Promise<void> => {
  if (!answer.ok || answer.body === null) {
    throw new Error(`the engine answered with status ${answer.status}`);
  }
  const input = Readable.fromWeb(answer.body);
  await new Promise<void>((resolve, reject) => {
    let timer = setTimeout(reject, idleMs);
    const lines = createInterface({ input });
    // The line reader emits the errors of its input too.
    lines.on('error', reject);
    lines.on('line', (text) => {
      clearTimeout(timer);
      timer = setTimeout(reject, idleMs);
      const line = JSON.parse(text) as EngineLine;
      if (!response.writableEnded) {
        writeEvent(response, upstream, line);
      }
      if (line.end === true) {
        clearTimeout(timer);
        resolve();
      }
    });
    lines.on('close', reject);
  });
};

/**
 * A simple entry node for comparison: no tickets, no check of token indexes, and a retry on any
 * failure.
 */
export const NaiveEntry = {
  create: async (settings: NaiveEntrySettings): Promise<NaiveEntry> => {
    const upstreams = NaiveUpstreams.create(settings.upstreams, settings.platformPort);
    const answers = new Map<string, unknown>();

    const post = (upstream: NaiveUpstream, path: string, body: unknown, timeoutMs?: number) =>
      fetch(`http://127.0.0.1:${upstream.port}${path}`, {
        method: 'POST',
        body: JSON.stringify(body),
        ...(timeoutMs === undefined ? {} : { signal: AbortSignal.timeout(timeoutMs) }),
      });

    /** Runs a request on the upstream picked for this attempt. */
    const runOnUpstream = async <Result>(
      service: string,
      attempt: number,
      run: (upstream: NaiveUpstream) => Promise<Result>,
    ): Promise<Result> => {
      const upstream = upstreams.pick(service, attempt);
      if (upstream === undefined) {
        throw new Error(`no upstream is available for the service ${service}`);
      }
      return upstreams.countOpen(upstream, () => run(upstream));
    };

    const generate = async (
      service: string,
      body: Record<string, unknown>,
      response: ServerResponse,
    ): Promise<void> => {
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      response.flushHeaders();
      const run = async (upstream: NaiveUpstream): Promise<void> => {
        const order = {
          ...{ generation: randomUUID(), service, model: service, version: 'v1' },
          ...{ prompt: body.prompt, maxTokens: body.maxTokens ?? 1024 },
          ...{ priority: 0, attempt: 1 },
        };
        const answer = await post(upstream, '/generations', order);
        await relayLines(answer, upstream, response, settings.idleMs);
      };
      await naiveCall(new Map(), undefined, (attempt) => runOnUpstream(service, attempt, run));
      response.end();
    };

    const resume = async (id: string, response: ServerResponse): Promise<void> => {
      const [upstreamId = '', generation = ''] = id.split('/');
      const upstream = upstreams.find(upstreamId);
      response.writeHead(200, { 'content-type': 'text/event-stream' });
      if (upstream !== undefined) {
        const url = `http://127.0.0.1:${upstream.port}/generations/${generation}?from=0`;
        await relayLines(await fetch(url), upstream, response, settings.idleMs).catch(
          () => undefined,
        );
      }
      response.end();
    };

    const call = async (
      service: string,
      key: string | undefined,
      body: Record<string, unknown>,
      response: ServerResponse,
    ): Promise<void> => {
      const run = async (upstream: NaiveUpstream): Promise<unknown> => {
        const order = { requestId: randomUUID(), ...body };
        const answer = await post(upstream, '/calls', order, settings.callTimeoutMs);
        if (!answer.ok) {
          throw new Error(`the service answered with status ${answer.status}`);
        }
        return ((await answer.json()) as { result: unknown }).result;
      };
      const answer = await naiveCall(answers, key, (attempt) =>
        runOnUpstream(service, attempt, run),
      );
      if (answer.isDone) {
        sendJson(response, 200, { result: answer.result });
      } else {
        const detail = 'all upstreams failed, please try again';
        sendJson(response, 503, { kind: 'upstream-unreachable', ran: 'not-run', detail });
      }
    };

    const route = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
      const [, , service = '', kind] = (request.url ?? '').split('/').slice(1);
      if (request.method === 'GET') {
        await resume(String(request.headers['last-event-id']), response);
        return;
      }
      const body = await readJson(request);
      const key = request.headers['idempotency-key'];
      await (kind === 'calls'
        ? call(service, typeof key === 'string' ? key : undefined, body, response)
        : generate(service, body, response));
    };

    const server = createServer((request, response) => {
      response.on('error', () => undefined);
      route(request, response).catch(() => {
        response.destroy();
      });
    });
    await new Promise<void>((resolve) => server.listen(settings.port, '127.0.0.1', resolve));
    return {
      port: (server.address() as AddressInfo).port,
      close: () =>
        new Promise((resolve) => {
          upstreams.stop();
          server.close(() => {
            resolve();
          });
          server.closeAllConnections();
        }),
    };
  },
};
