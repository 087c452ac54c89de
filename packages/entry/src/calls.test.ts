import { signTicket } from '@zinniagrade/idempotency';
import type { Claim } from '@zinniagrade/idempotency';
import type { CallForward, Member, NodeView } from '@zinniagrade/types';
import { expect } from 'chai';
import { request } from 'undici';
import type { ClaimStore } from './claim-key.js';
import type { Entry } from './entry.js';
import type { RequestHandler, FakeUpstream, NodeOptions } from './fake-upstreams.test.js';
import {
  authorization,
  countingService,
  createClient,
  createConfiguration,
  createUpstream,
  nodeSecret,
  startFakeUpstream,
  startNode,
} from './fake-upstreams.test.js';
import { createStaticControl } from './static-control.js';

const ticketFor = (node: string, processIncarnation = 1, lifeMs = 600_000): string =>
  signTicket(nodeSecret, {
    clientAccount: 'acme',
    node,
    processIncarnation,
    expiresAt: Date.now() + lifeMs,
    nonce: 'x',
  });

/** Calls the operation `credit`; gives `run N`, or the error kind and whether the call ran. */
const callCredit = async (node: Entry, key: string, amount = 1): Promise<string> => {
  const { statusCode, body } = await request(
    `http://127.0.0.1:${node.callerPort}/v1/services/notes/calls`,
    {
      method: 'POST',
      headers: { authorization, ...(key === '' ? {} : { 'idempotency-key': key }) },
      body: JSON.stringify({ operation: 'credit', arguments: { amount } }),
    },
  );
  const document = (await body.json()) as {
    readonly kind: string;
    readonly ran: string;
    readonly result: { readonly runs: number };
  };
  return statusCode === 200 ? `run ${document.result.runs}` : `${document.kind} ${document.ran}`;
};

const createMemoryClaimStore = (claims = new Map<string, Claim>()): ClaimStore => ({
  create: (key, claim) => {
    if (claims.has(key)) {
      return Promise.resolve('exists');
    }
    claims.set(key, claim);
    return Promise.resolve('created');
  },
  read: (key) => Promise.resolve(claims.get(key)),
});

describe('non-idempotent call through an entry node', () => {
  const openResources: { readonly close: () => Promise<void> }[] = [];
  const closeAfterTest = <Resource extends Entry | FakeUpstream>(resource: Resource): Resource => {
    openResources.push(resource);
    return resource;
  };
  const start = async (
    nodeId: string,
    handlers: readonly RequestHandler[],
    options: NodeOptions = {},
  ): Promise<Entry> => {
    const upstreams = [];
    for (const [index, handler] of handlers.entries()) {
      const { port } = closeAfterTest(await startFakeUpstream(handler));
      upstreams.push(createUpstream(`p${index}`, port, 'plain'));
    }
    return closeAfterTest(await startNode(nodeId, upstreams, [], options));
  };
  /** Forwards calls to another node, as the node link does. */
  const forwardTo = (other: () => Entry): NodeOptions => ({
    control: {
      forwardCall: (_node, _incarnation, forward) => {
        const message: CallForward = { kind: 'call-forward', correlationId: 'c', ...forward };
        return other().reports.answerForward(message);
      },
    },
  });
  afterEach(async () => {
    for (const resource of openResources.splice(0).reverse()) {
      await resource.close();
    }
  });

  it('joins a repeat to the first call, and rejects the key with another body', async () => {
    const runs = { count: 0 };
    const slowHandler: RequestHandler = (...parts) => {
      setTimeout(() => {
        countingService(runs)(...parts);
      }, 50);
    };
    const node = await start('n1', [slowHandler]);
    const key = ticketFor('n1');
    const answers = await Promise.all([
      callCredit(node, key),
      callCredit(node, key),
      callCredit(node, key, 2),
    ]);
    expect(answers.sort()).to.deep.equal(['idempotency-key-reused not-run', 'run 1', 'run 1']);
    expect(await callCredit(node, key)).to.equal('run 1');
  });

  it('neither reports not-run nor runs again if the upstream disconnects during the call', async () => {
    const runs = { count: 0 };
    const resettingHandler: RequestHandler = (_incoming, response) => {
      runs.count += 1;
      response.destroy();
    };
    const node = await start('n1', [resettingHandler, resettingHandler]);
    const key = ticketFor('n1');
    expect(await callCredit(node, key)).to.equal('upstream-failed unknown');
    expect(await callCredit(node, key)).to.equal('upstream-failed unknown');
    expect(runs.count).to.equal(1);
  });

  it('tries another upstream after a refusal, and reports not-run if all refuse', async () => {
    const refusingHandler: RequestHandler = (_incoming, response) => {
      response.writeHead(503).end('{"refused":"full"}');
    };
    const runs = { count: 0 };
    const mixedNode = await start('n1', [refusingHandler, refusingHandler, countingService(runs)]);
    expect(await callCredit(mixedNode, ticketFor('n1'))).to.equal('run 1');
    const refusingNode = await start('n2', [refusingHandler]);
    expect(await callCredit(refusingNode, ticketFor('n2'))).to.equal('upstream-refused not-run');
  });

  it('is answered by the process that its ticket names, whichever node receives it', async () => {
    const runs = { count: 0 };
    const owner = await start('n1', [countingService(runs)]);
    const other = await start(
      'n2',
      [],
      forwardTo(() => owner),
    );
    const key = ticketFor('n1');
    expect(await callCredit(owner, key)).to.equal('run 1');
    expect(await callCredit(other, key)).to.equal('run 1');
    expect(await callCredit(other, ticketFor('n1', 99))).to.equal('outcome-unknown unknown');
    expect(runs.count).to.equal(1);
  });

  it('has an unknown outcome once the process that its ticket names is gone', async () => {
    const runs = { count: 0 };
    const node = await start('n2', [countingService(runs)]);
    for (const key of [ticketFor('n1'), ticketFor('n2', 0)]) {
      expect(await callCredit(node, key)).to.equal('outcome-unknown unknown');
    }
    expect(await callCredit(node, ticketFor('n2', 1, 500))).to.equal(
      'idempotency-key-expired unknown',
    );
    expect(await callCredit(node, '')).to.equal('idempotency-key-required not-run');
    expect(runs.count).to.equal(0);
  });

  it('runs once, at the node that claimed the key, if the caller chose the key', async () => {
    const runs = { count: 0 };
    const claims = createMemoryClaimStore();
    const first = await start('n1', [countingService(runs)], { claims });
    const second = await start('n2', [countingService(runs)], {
      ...forwardTo(() => first),
      claims,
    });
    expect(await callCredit(first, 'order-1')).to.equal('run 1');
    expect(await callCredit(second, 'order-1')).to.equal('run 1');
    expect(runs.count).to.equal(1);
  });

  it('reads back a claim whose write has an unknown outcome, and fails while the store is down', async () => {
    const runs = { count: 0 };
    const storedClaims = new Map<string, Claim>();
    const claimStore: ClaimStore = {
      ...createMemoryClaimStore(storedClaims),
      create: async (key, claim) => {
        await createMemoryClaimStore(storedClaims).create(key, claim);
        return 'unknown';
      },
    };
    const node = await start('n1', [countingService(runs)], { claims: claimStore });
    expect(await callCredit(node, 'order-1')).to.equal('run 1');
    const nodeWithoutStore = await start('n2', [countingService(runs)]);
    expect(await callCredit(nodeWithoutStore, 'order-2')).to.equal('outcome-unknown unknown');
  });

  it('does not run when forwarded with a claim of an earlier process of the node', async () => {
    const runs = { count: 0 };
    const storedClaims = new Map([
      ['claims/acme/order-1', { node: 'n1', processIncarnation: 0, claimedAt: Date.now() }],
    ]);
    const node = await start('n1', [countingService(runs)], {
      claims: createMemoryClaimStore(storedClaims),
    });
    const outcome = await node.reports.answerForward({
      kind: 'call-forward',
      correlationId: 'c',
      clientAccount: 'acme',
      service: 'notes',
      idempotencyKey: 'order-1',
      operation: 'credit',
      arguments: {},
    });
    expect(outcome).to.include({ ok: false, error: 'outcome-unknown', ran: 'unknown' });
    expect(runs.count).to.equal(0);
  });

  it('is answered from the recorded outcome by a node that takes no new work', async () => {
    const runs = { count: 0 };
    const service = closeAfterTest(await startFakeUpstream(countingService(runs)));
    const configuration = createConfiguration([createUpstream('p1', service.port, 'plain')]);
    const state = { refusing: false };
    const view = (): NodeView =>
      createStaticControl({
        configuration,
        members,
        ...(state.refusing ? { refusesNewWork: 'isolated' } : {}),
      }).view();
    const members: Member[] = [];
    const node = closeAfterTest(await startNode('n1', [], members, { control: { view } }));
    const key = ticketFor('n1');
    const before = await callCredit(node, key);
    state.refusing = true;
    const after = [
      await callCredit(node, key),
      await callCredit(node, ticketFor('n1', 1, 500_000)),
    ];
    expect([before, ...after]).to.deep.equal(['run 1', 'run 1', 'isolated not-run']);
  });

  it('is refused as not-run without a usable limit and for withdrawn or leaving upstreams', async () => {
    const service = closeAfterTest(await startFakeUpstream(() => undefined));
    const upstream = createUpstream('p1', service.port, 'plain');
    const limit = { slots: 0, memoryTokens: 0, warm: true, lapsesAt: Number.POSITIVE_INFINITY };
    const views: readonly [NonNullable<NodeOptions['view']>, string][] = [
      [{ limits: new Map([['p1', limit]]) }, 'overloaded not-run'],
      [{ limits: new Map([['p1', { ...limit, slots: 1, lapsesAt: 0 }]]) }, 'overloaded not-run'],
      [{ limits: new Map() }, 'overloaded not-run'],
      [{ withdrawnDataCentres: new Set(['dc1']) }, 'no-upstream not-run'],
      [{ leavingUpstreams: new Set(['p1']) }, 'no-upstream not-run'],
      [{ refusesNewWork: 'isolated' }, 'isolated not-run'],
    ];
    for (const [view, expected] of views) {
      const node = closeAfterTest(await startNode('n1', [upstream], [], { view }));
      expect(await callCredit(node, ticketFor('n1'))).to.equal(expected);
    }
    expect(service.requests).to.deep.equal([]);
  });

  it('is reported as unknown by the client library if its node closes during the call', async () => {
    const runs = { count: 0 };
    const running: { entry?: Entry } = {};
    const entry = await start('n1', [
      () => {
        runs.count += 1;
        void running.entry?.close();
      },
    ]);
    running.entry = entry;
    const client = createClient(entry);
    const answer = await client.call('notes', { operation: 'credit', arguments: {} });
    await client.close();
    expect(answer.swap().unsafeCoerce().kind).to.equal('outcome-unknown');
    expect(runs.count).to.equal(1);
  });
});
