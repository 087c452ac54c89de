import { expect } from 'chai';
import type { ServerResponse } from 'node:http';
import { connect } from 'node:net';
import { request } from 'undici';
import { chooseLeastLoaded } from './choose-upstream.js';
import type { Entry } from './entry.js';
import type { RequestHandler, FakeUpstream } from './fake-upstreams.test.js';
import {
  authorization,
  createClient,
  createUpstream,
  endTokens,
  startFakeUpstream,
  startNode,
  textOf,
  completeEngine,
  writeTokens,
} from './fake-upstreams.test.js';

const path = '/v1/services/reports/generations';
const urlOf = (node: Entry): string => `http://127.0.0.1:${node.callerPort}`;
const post = (
  node: Entry,
  body: string,
  headers: Record<string, string> = { authorization },
): ReturnType<typeof request> =>
  request(`${urlOf(node)}${path}`, { method: 'POST', headers, body });
const kindOf = async (answer: ReturnType<typeof request>): Promise<string> =>
  ((await (await answer).body.json()) as { readonly kind: string }).kind;

/** Closes the connection after three tokens and answers 404 to any request to resume. */
const crashingEngine: RequestHandler = (incoming, response, { generation = '' }) => {
  if (incoming.method !== 'POST') {
    response.writeHead(404).end('{}');
    return;
  }
  writeTokens(response, generation, 0, 3);
  setImmediate(() => response.destroy());
};

describe('generation through an entry node', () => {
  const openResources: { readonly close: () => Promise<void> }[] = [];
  const closeAfterTest = <Resource extends Entry | FakeUpstream>(resource: Resource): Resource => {
    openResources.push(resource);
    return resource;
  };
  const startNodeWithEngines = async (...handlers: readonly RequestHandler[]): Promise<Entry> => {
    const upstreams = [];
    for (const [index, handler] of handlers.entries()) {
      const { port } = closeAfterTest(await startFakeUpstream(handler));
      upstreams.push(createUpstream(`e${index}`, port, 'engine'));
    }
    // Uses the engines in their order, so that a test knows which one is first.
    return closeAfterTest(
      await startNode('n1', upstreams, [], { chooseUpstream: chooseLeastLoaded }),
    );
  };
  afterEach(async () => {
    for (const resource of openResources.splice(0).reverse()) {
      await resource.close();
    }
  });

  it('recovers from repeated chunks, a gap and a disconnect in the engine stream', async () => {
    const node = await startNodeWithEngines((incoming, response, body) => {
      if (incoming.method === 'POST') {
        writeTokens(response, body.generation ?? '', 0, 4);
        writeTokens(response, body.generation ?? '', 2, 4);
        writeTokens(response, body.generation ?? '', 6, 8);
      } else if (incoming.url?.endsWith('from=4') === true) {
        const id = incoming.url.split(/[/?]/)[2] ?? '';
        writeTokens(response, id, 3, 7);
        setImmediate(() => response.destroy());
      } else {
        completeEngine(10)(incoming, response, body);
      }
    });
    const client = createClient(node);
    const answer = await client.generate('reports', { prompt: 'p' });
    await client.close();
    expect(answer.unsafeCoerce().text).to.equal(textOf(10));
  });

  it('ends with generation-lost if the engine crashes after the caller has received tokens', async () => {
    const client = createClient(await startNodeWithEngines(crashingEngine, crashingEngine));
    const answer = await client.generate('reports', { prompt: 'p' });
    await client.close();
    expect(answer.swap().unsafeCoerce().kind).to.equal('generation-lost');
  });

  it('replaces the tokens of a crashed engine if the request allows a restart', async () => {
    const client = createClient(await startNodeWithEngines(crashingEngine, completeEngine(5)));
    const answer = await client.generate('reports', { prompt: 'p', restart: true });
    await client.close();
    const { text, restarts } = answer.unsafeCoerce();
    expect({ text, restarts }).to.deep.equal({ text: textOf(5), restarts: 1 });
  });

  it('tries another engine after a refusal or a disconnect before the first token', async () => {
    const refusingEngine: RequestHandler = (_incoming, response) => {
      response.writeHead(503).end('{"refused":"full"}');
    };
    const resettingEngine: RequestHandler = (_incoming, response) => {
      response.destroy();
    };
    const client = createClient(
      await startNodeWithEngines(refusingEngine, resettingEngine, completeEngine(5)),
    );
    const answer = await client.generate('reports', { prompt: 'p' });
    await client.close();
    expect(answer.unsafeCoerce().text).to.equal(textOf(5));
  });

  it('resumes at another node, and rejects a forged token and the token of another account', async () => {
    const engine = closeAfterTest(await startFakeUpstream(completeEngine(20)));
    const upstreams = [createUpstream('e1', engine.port, 'engine')];
    const first = closeAfterTest(await startNode('n1', upstreams, []));
    const second = closeAfterTest(await startNode('n2', upstreams, []));
    const whole = await (await post(first, '{"prompt":"p"}')).body.text();
    const token = /"index":6,[^]*?id: (.*)\n/.exec(whole)?.[1] ?? '';
    const resume = (id: string, as = authorization): ReturnType<typeof request> =>
      request(`${urlOf(second)}/v1/generations`, {
        headers: { authorization: as, 'last-event-id': id },
      });
    const rest = await (await resume(token)).body.text();
    expect(rest).to.match(/^event: token\nid: .*\ndata: .*"index":8,/);
    expect(rest.match(/event: token/g)).to.have.length(12);
    expect(await kindOf(resume(token.replace('.8.', '.2.')))).to.equal('resume-token-invalid');
    expect(await kindOf(resume(token, 'Bearer other.open-sesame'))).to.equal(
      'resume-token-invalid',
    );
  });

  it('answers a resume with generation-lost if the engine no longer has the generation', async () => {
    const node = await startNodeWithEngines((incoming, response, body) => {
      (incoming.method === 'POST' ? completeEngine(2) : crashingEngine)(incoming, response, body);
    });
    const whole = await (await post(node, '{"prompt":"p"}')).body.text();
    const answer = request(`${urlOf(node)}/v1/generations`, {
      headers: { authorization, 'last-event-id': /id: (.*)\n/.exec(whole)?.[1] ?? '' },
    });
    expect(await kindOf(answer)).to.equal('generation-lost');
  });

  it('stops reading from the engine while the caller does not read', async () => {
    const chunkBytes = 8_192;
    const chunkCount = 4_000;
    let written = 0;
    let reportBlocked: () => void = () => undefined;
    const blocked = new Promise<void>((resolve) => {
      reportBlocked = resolve;
    });
    const write = (response: ServerResponse, generation: string): void => {
      while (written < chunkCount) {
        const line = { generation, index: written, text: 'x'.repeat(chunkBytes) };
        written += 1;
        if (!response.write(`${JSON.stringify(line)}\n`)) {
          const timer = setTimeout(reportBlocked, 300);
          response.once('drain', () => {
            clearTimeout(timer);
            write(response, generation);
          });
          return;
        }
      }
      endTokens(response, generation, chunkCount);
    };
    const node = await startNodeWithEngines((_incoming, response, { generation = '' }) => {
      write(response, generation);
    });
    const { body } = await post(node, '{"prompt":"p"}');
    await blocked;
    expect(written).to.be.lessThan(chunkCount);
    let bytes = 0;
    for await (const chunk of body) {
      bytes += (chunk as Buffer).length;
    }
    expect(bytes).to.be.greaterThan(chunkCount * chunkBytes);
  });

  it('rejects a body that is invalid, too large or truncated, and invalid credentials', async () => {
    const node = await startNodeWithEngines(completeEngine(1));
    expect(await kindOf(post(node, '{'))).to.equal('invalid-request');
    expect(await kindOf(post(node, '{"prompt":1}'))).to.equal('invalid-request');
    const large = JSON.stringify({ prompt: 'x'.repeat(1_100_000) });
    expect(await kindOf(post(node, large))).to.equal('payload-too-large');
    for (const wrong of ['', 'Bearer nobody.x', 'Bearer acme.wrong', 'Basic acme']) {
      expect(await kindOf(post(node, '{}', { authorization: wrong }))).to.equal('unauthenticated');
    }
    const socket = connect(node.callerPort, '127.0.0.1');
    socket.end(
      `POST ${path} HTTP/1.1\r\nhost: x\r\nauthorization: ${authorization}\r\ncontent-length: 50\r\n\r\n{"prompt":`,
    );
    await new Promise((resolve) => socket.once('close', resolve).resume());
    expect(node.reports.openRequests()).to.equal(0);
    expect(await (await post(node, '{"prompt":"p"}')).body.text()).to.contain('event: end');
  });

  it('rejects a stream over the limit of open streams of the account', async () => {
    const node = await startNodeWithEngines((_incoming, response, { generation = '' }) => {
      writeTokens(response, generation, 0, 1);
    });
    const streams = await Promise.all([1, 2, 3, 4].map(() => post(node, '{"prompt":"p"}')));
    expect(await kindOf(post(node, '{"prompt":"p"}'))).to.equal('account-limit');
    for (const { body } of streams) {
      body.on('error', () => undefined);
      body.destroy();
    }
  });

  it('finishes its open stream before it shuts down, and refuses new work meanwhile', async () => {
    const pending: { finish?: () => void } = {};
    const node = await startNodeWithEngines((_incoming, response, { generation = '' }) => {
      writeTokens(response, generation, 0, 1);
      pending.finish = () => {
        writeTokens(response, generation, 1, 3);
        endTokens(response, generation, 3);
      };
    });
    const { body } = await post(node, '{"prompt":"p"}');
    const left = node.leave();
    await new Promise((resolve) => setTimeout(resolve, 20));
    expect(await kindOf(post(node, '{"prompt":"p"}'))).to.equal('leaving');
    pending.finish?.();
    expect(await body.text()).to.contain('event: end');
    await left;
    openResources.splice(openResources.indexOf(node), 1);
  });
});
