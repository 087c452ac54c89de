import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { CallerClient } from './caller-client.js';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

interface FakeNode {
  readonly port: number;
  readonly close: () => void;
}

const startFakeNode = async (handler: Handler): Promise<FakeNode> => {
  const server = createServer(handler);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};

const sendProblem = (response: ServerResponse, status: number, kind: string, ran: string): void => {
  response.writeHead(status).end(JSON.stringify({ kind, ran, detail: 'sent by the test' }));
};

/**
 * Starts one node per handler and a client. Each address response lists the nodes in order;
 * `keys` collects the idempotency key or resume token of each request.
 */
const createCluster = async (...handlers: readonly Handler[]) => {
  const keys: string[] = [];
  let tickets = 0;
  const ports: number[] = [];
  const nodes: FakeNode[] = [];
  for (const handler of handlers) {
    const node = await startFakeNode((request, response) => {
      if (request.url?.startsWith('/v1/address') === true) {
        const addresses = ports.map((port) => ({ nodeId: 'n', host: '127.0.0.1', port }));
        const idempotencyKeys = [`ticket-${(tickets += 1)}`];
        response.end(JSON.stringify({ addresses, holdMs: 30_000, idempotencyKeys }));
        return;
      }
      keys.push(String(request.headers['idempotency-key'] ?? request.headers['last-event-id']));
      request.resume().on('end', () => {
        handler(request, response);
      });
    });
    nodes.push(node);
    ports.push(node.port);
  }
  const client = CallerClient.create({
    ...{ clientAccount: 'acme', secret: 's' },
    seeds: ports.map((port) => ({ host: '127.0.0.1', port })).reverse(),
  });
  const close = async (): Promise<void> => {
    await client.close();
    for (const node of nodes) {
      node.close();
    }
  };
  return { client, keys, nodes, close };
};

const call = { operation: 'credit', arguments: {} };
const breakConnection: Handler = (request) => request.socket.destroy();
const resultOrErrorKind = async (call: ReturnType<CallerClient['call']>): Promise<unknown> =>
  (await call).caseOf({ Left: ({ kind }): unknown => kind, Right: (result) => result });

describe('caller client', () => {
  it('retries a call at another node with the same ticket when the connection breaks', async () => {
    const cluster = await createCluster(breakConnection, (_request, response) =>
      response.end('{"result":7}'),
    );
    expect(await resultOrErrorKind(cluster.client.call('notes', call))).to.equal(7);
    expect(cluster.keys).to.deep.equal(['ticket-1', 'ticket-1']);
    await cluster.close();
  });

  it('reports an unknown outcome and uses no new ticket when no node knows whether the call ran', async () => {
    const cluster = await createCluster(breakConnection, (_request, response) => {
      sendProblem(response, 502, 'outcome-unknown', 'unknown');
    });
    expect(await resultOrErrorKind(cluster.client.call('notes', call))).to.equal('outcome-unknown');
    expect(new Set(cluster.keys)).to.deep.equal(new Set(['ticket-1']));
    await cluster.close();
  });

  it('accepts only from the owner of the ticket that an interrupted call did not run', async () => {
    const cluster = await createCluster(breakConnection, (_request, response) => {
      sendProblem(response, 401, 'unauthenticated', 'not-run');
    });
    expect(await resultOrErrorKind(cluster.client.call('notes', call))).to.equal('outcome-unknown');
    await cluster.close();
  });

  it('uses a new ticket only if the first was never sent or its call did not run', async () => {
    let requests = 0;
    const cluster = await createCluster(breakConnection, (_request, response) => {
      requests += 1;
      if (requests === 1) {
        sendProblem(response, 503, 'overloaded', 'not-run');
      } else {
        response.end('{"result":7}');
      }
    });
    cluster.nodes[0]?.close();
    expect(await resultOrErrorKind(cluster.client.call('notes', call))).to.equal(7);
    expect(new Set(cluster.keys).size).to.equal(2);
    await cluster.close();
  });

  it('resumes a stream at another node and never joins text of two generations', async () => {
    const token = (generation: string, index: number): string =>
      `event: token\nid: r${index + 1}\ndata: ${JSON.stringify({ generation, index, text: `${index}` })}\n\n`;
    const start: Handler = (request, response) => {
      response.write(token('g', 0), () => request.socket.destroy());
    };
    const end = 'event: end\ndata: {"generation":"g","tokens":2}\n\n';
    const intact = await createCluster(start, (_request, response) => {
      response.end(token('g', 1) + end);
    });
    const completed = await intact.client.generate('reports', { prompt: 'p' });
    expect(completed.unsafeCoerce()).to.include({ text: '01', resumes: 1 });
    expect(intact.keys.at(-1)).to.equal('r1');
    await intact.close();
    const mixed = await createCluster(start, (_request, response) => {
      response.end(token('h', 1) + end);
    });
    const mixedResult = await mixed.client.generate('reports', { prompt: 'p' });
    expect(mixedResult.swap().unsafeCoerce().kind).to.equal('protocol-violation');
    await mixed.close();
  });
});
