import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { CallerClient, hashSecret } from '@zinniagrade/caller';
import type { NodeControl } from '@zinniagrade/control';
import { Logger } from '@zinniagrade/logger';
import type { Configuration, Member, NodeView, Upstream } from '@zinniagrade/types';
import type { UpstreamChooser } from './choose-upstream.js';
import type { ClaimStore } from './claim-key.js';
import { unavailableClaimStore } from './claim-key.js';
import type { Entry } from './entry.js';
import { startEntry } from './entry.js';
import { createStaticControl } from './static-control.js';

export const secret = 'open-sesame';
export const nodeSecret = 'a secret shared by the nodes';
export const authorization = `Bearer acme.${secret}`;

/** Answers a request to a fake upstream. */
export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
  body: { readonly generation?: string; readonly requestId?: string; readonly operation?: string },
) => void;

export interface FakeUpstream {
  readonly port: number;
  /** Method and path of each request, in order of arrival. */
  readonly requests: string[];
  readonly close: () => Promise<void>;
}

export const startFakeUpstream = async (handler: RequestHandler): Promise<FakeUpstream> => {
  const requests: string[] = [];
  const server: Server = createServer((request, response) => {
    requests.push(`${request.method ?? ''} ${request.url ?? ''}`);
    let text = '';
    request.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    request.on('end', () => {
      handler(request, response, JSON.parse(text === '' ? '{}' : text) as Record<string, string>);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    requests,
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
};

/** Writes the tokens of a generation from index `from` to `to`, exclusive. */
export const writeTokens = (
  response: ServerResponse,
  generation: string,
  from: number,
  to: number,
): void => {
  for (let index = from; index < to; index += 1) {
    response.write(`${JSON.stringify({ generation, index, text: `t${index} ` })}\n`);
  }
};

export const endTokens = (response: ServerResponse, generation: string, tokens: number): void => {
  response.end(`${JSON.stringify({ generation, end: true, tokens })}\n`);
};

/** Serves generations of `tokens` tokens, and requests to resume them. */
export const completeEngine =
  (tokens: number): RequestHandler =>
  (request, response, { generation }) => {
    const resumed = /^\/generations\/([^?]+)\?from=(\d+)$/.exec(request.url ?? '');
    const id = generation ?? resumed?.[1] ?? '';
    writeTokens(response, id, Number(resumed?.[2] ?? 0), tokens);
    endTokens(response, id, tokens);
  };

export const textOf = (tokens: number): string =>
  Array.from({ length: tokens }, (_, index) => `t${index} `).join('');

/** Counts runs of the operation `credit` and answers with the count. */
export const countingService = (runs: { count: number }): RequestHandler => {
  return (_request, response, { requestId, operation }) => {
    runs.count += operation === 'credit' ? 1 : 0;
    response.end(JSON.stringify({ requestId, result: { runs: runs.count } }));
  };
};

export const createUpstream = (
  id: string,
  port: number,
  kind: 'engine' | 'plain',
  changes: Partial<Upstream> = {},
): Upstream => ({
  id,
  kind,
  dataCentre: 'dc1',
  host: '127.0.0.1',
  port,
  services: [kind === 'engine' ? 'reports' : 'notes'],
  version: kind === 'engine' ? 'r1' : 'n1',
  capacity: { slots: 10, memoryTokens: 100_000 },
  coldSlots: 1,
  refusesOldFencingTokens: true,
  state: 'in-service',
  ...changes,
});

export const createConfiguration = (upstreams: readonly Upstream[]): Configuration => ({
  revision: 1,
  dataCentres: { dc1: { id: 'dc1', region: 'r', state: 'in-service' } },
  services: {
    reports: {
      id: 'reports',
      kind: 'generation',
      class: 'long-generation',
      model: 'm',
      version: 'r1',
      operations: [],
      firstAnswerDeadlineMs: 1_600,
    },
    notes: {
      id: 'notes',
      kind: 'plain',
      class: 'call',
      version: 'n1',
      operations: [
        { name: 'credit', idempotent: false },
        { name: 'status', idempotent: true },
      ],
      firstAnswerDeadlineMs: 500,
    },
  },
  versions: { r1: { id: 'r1', service: 'reports' }, n1: { id: 'n1', service: 'notes' } },
  upstreams: Object.fromEntries(upstreams.map((upstream) => [upstream.id, upstream])),
  moves: {},
  clientAccounts: {
    acme: { id: 'acme', secretHash: hashSecret(secret), weight: 1, maxOpenStreams: 4 },
    other: { id: 'other', secretHash: hashSecret(secret), weight: 1, maxOpenStreams: 4 },
  },
});

export interface NodeOptions {
  readonly view?: Partial<NodeView>;
  readonly control?: Partial<NodeControl>;
  readonly claims?: ClaimStore;
  readonly engineIdleMs?: number;
  readonly callerPort?: number;
  readonly chooseUpstream?: UpstreamChooser;
}

/**
 * Starts an entry node with a static control. Adds the node to `members`, which is part of its
 * view.
 */
export const startNode = (
  nodeId: string,
  upstreams: readonly Upstream[],
  members: Member[],
  options: NodeOptions = {},
): Promise<Entry> =>
  startEntry({
    settings: {
      nodeId,
      dataCentre: 'dc1',
      region: 'r',
      host: '127.0.0.1',
      callerPort: options.callerPort ?? 0,
      nodeSecret,
      leaveAcceptMs: 0,
      drainMs: 5_000,
      engineIdleMs: options.engineIdleMs ?? 5_000,
      callTimeoutMs: 5_000,
    },
    claims: options.claims ?? unavailableClaimStore,
    logger: Logger.createSilent(),
    ...(options.chooseUpstream === undefined ? {} : { chooseUpstream: options.chooseUpstream }),
    createControl: (_reports, callerPort) => {
      members.push({
        nodeId,
        incarnation: 1,
        processIncarnation: 1,
        host: '127.0.0.1',
        callerPort,
        linkPort: 0,
        dataCentre: 'dc1',
        region: 'r',
        status: 'alive',
      });
      return Promise.resolve(
        createStaticControl(
          { configuration: createConfiguration(upstreams), members, ...options.view },
          options.control,
        ),
      );
    },
  });

export const createClient = (entry: Entry): CallerClient =>
  CallerClient.create({
    clientAccount: 'acme',
    secret,
    seeds: [{ host: '127.0.0.1', port: entry.callerPort }],
  });
