import { expect } from 'chai';
import { checkDocument, formatFieldErrors } from '@zinniagrade/settings';
import type { Member } from '@zinniagrade/types';
import { entrySettings } from './entry-settings.js';
import type { Entry } from './entry.js';
import type { FakeUpstream } from './fake-upstreams.test.js';
import {
  countingService,
  createClient,
  createUpstream,
  startFakeUpstream,
  startNode,
  textOf,
  completeEngine,
} from './fake-upstreams.test.js';

describe('entry node', () => {
  const openResources: { readonly close: () => Promise<void> }[] = [];
  const closeAfterTest = <Resource extends Entry | FakeUpstream>(resource: Resource): Resource => {
    openResources.push(resource);
    return resource;
  };
  afterEach(async () => {
    for (const resource of openResources.splice(0).reverse()) {
      await resource.close();
    }
  });

  it('streams a complete generation to its caller in order', async () => {
    const engine = closeAfterTest(await startFakeUpstream(completeEngine(50)));
    const node = closeAfterTest(
      await startNode('n1', [createUpstream('e1', engine.port, 'engine')], []),
    );
    const client = createClient(node);
    const answer = await client.generate('reports', { prompt: 'cartridge 7' });
    await client.close();
    expect(answer.unsafeCoerce().text).to.equal(textOf(50));
    expect(node.reports.openRequests()).to.equal(0);
  });

  it('answers a lookup and runs a non-idempotent call with a ticket once', async () => {
    const runs = { count: 0 };
    const service = closeAfterTest(await startFakeUpstream(countingService(runs)));
    const node = closeAfterTest(
      await startNode('n1', [createUpstream('p1', service.port, 'plain')], []),
    );
    const client = createClient(node);
    const status = await client.call('notes', {
      operation: 'status',
      arguments: { order: 1 },
      idempotent: true,
    });
    const credit = await client.call('notes', { operation: 'credit', arguments: { order: 1 } });
    await client.close();
    expect(status.unsafeCoerce()).to.deep.equal({ runs: 0 });
    expect(credit.unsafeCoerce()).to.deep.equal({ runs: 1 });
  });

  it('does not start on a port in use, and does not disturb the node there', async () => {
    const members: Member[] = [];
    const first = closeAfterTest(await startNode('n1', [], members));
    const second = startNode('n2', [], members, { callerPort: first.callerPort });
    const failure = await second.then(
      () => 'started',
      (error: unknown) => String(error),
    );
    expect(failure).to.match(/EADDRINUSE/);
    expect(members.map(({ nodeId }) => nodeId)).to.deep.equal(['n1']);
    const health = await fetch(`http://127.0.0.1:${first.callerPort}/healthz`);
    expect(health.status).to.equal(200);
  });
});

describe('entry settings', () => {
  const validSettings = {
    nodeId: 'n1',
    dataCentre: 'dc1',
    region: 'r',
    host: '127.0.0.1',
    callerPort: 0,
    linkPort: 0,
    nodeSecret: 'sixteen characters or more',
    platform: { host: '127.0.0.1', port: 1 },
  };
  const faultsOf = (part: object): string =>
    checkDocument(entrySettings, { ...validSettings, ...part }).caseOf({
      Left: formatFieldErrors,
      Right: () => '',
    });

  it('are valid without the fields that have defaults', () => {
    expect(faultsOf({})).to.equal('');
  });

  it('report the path of an unknown field, an invalid value and a secret that is too short', () => {
    expect(faultsOf({ platfrom: 1 })).to.match(/platfrom/);
    expect(faultsOf({ callerPort: '80' })).to.match(/^callerPort: .*found "80"$/);
    expect(faultsOf({ platform: { host: 'h', port: 70_000 } })).to.match(/^platform\.port: /);
    expect(faultsOf({ nodeSecret: 'short' })).to.match(/^nodeSecret: /);
  });
});
