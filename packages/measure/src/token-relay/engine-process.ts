import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Random } from '@zinniagrade/clock';
import { childSettings, runChild } from './child.js';

export interface EngineSettings {
  readonly seed: number;
  readonly engines: number;
  readonly tokenIntervalMs: number;
}

export interface EnginesReady {
  readonly ports: readonly number[];
}

interface Stream {
  readonly generation: string;
  readonly tokens: number;
  readonly response: ServerResponse;
  index: number;
}

const { seed, engines, tokenIntervalMs } = childSettings() as EngineSettings;
const random = Random.create(seed);

/** Streams by the tick of 1 ms, modulo the token interval, at which their next token is due. */
const timerWheel: Stream[][] = Array.from({ length: tokenIntervalMs }, () => []);
let tick = Math.floor(performance.now());

/** Microseconds on the monotonic clock of the machine, which all processes share. */
const nowUs = (): number => Number(process.hrtime.bigint() / 1000n);

const sendNextToken = (stream: Stream): boolean => {
  const { generation, response, tokens } = stream;
  if (response.destroyed) {
    return false;
  }
  if (stream.index === tokens) {
    response.end(`${JSON.stringify({ generation, end: true, tokens })}\n`);
    return false;
  }
  const text = `tok ${nowUs()}`;
  response.write(`${JSON.stringify({ generation, index: stream.index, text })}\n`);
  stream.index += 1;
  return true;
};

setInterval(() => {
  for (const now = Math.floor(performance.now()); tick < now; tick += 1) {
    const slot = tick % tokenIntervalMs;
    timerWheel[slot] = (timerWheel[slot] ?? []).filter(sendNextToken);
  }
}, 1);

const listen = async (): Promise<number> => {
  const server = createServer((request, response) => {
    let body = '';
    request.on('data', (chunk: Buffer) => {
      body += chunk.toString();
    });
    request.on('end', () => {
      if (request.method !== 'POST') {
        response.writeHead(404).end('{}');
        return;
      }
      const { generation, maxTokens } = JSON.parse(body) as {
        readonly generation: string;
        readonly maxTokens: number;
      };
      response.writeHead(200, { 'content-type': 'application/x-ndjson' });
      const slot = Math.floor(random() * tokenIntervalMs);
      timerWheel[slot]?.push({ generation, tokens: maxTokens, response, index: 0 });
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', 1024, resolve));
  return (server.address() as AddressInfo).port;
};

const ports = await Promise.all(Array.from({ length: engines }, listen));
runChild(
  { ports } satisfies EnginesReady,
  () => undefined,
  () => ({}),
);
