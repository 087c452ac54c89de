import type { Change } from '@zinniagrade/types';
import { expect } from 'chai';
import { ControlFixture, type FixtureNode } from './control-fixture.js';

const createNodes = (count: number): readonly FixtureNode[] =>
  Array.from({ length: count }, (_, index) => ({
    nodeId: `n${index}`,
    dataCentre: index % 2 === 0 ? 'a' : 'b',
    region: 'r',
  }));

const putDataCentre = (id: string): Change => ({
  kind: 'put-data-centre',
  dataCentre: { id, region: 'r', state: 'in-service' },
});

const upstreamChanges: readonly Change[] = [
  {
    kind: 'put-service',
    service: {
      id: 's',
      kind: 'plain',
      class: 'call',
      version: 'v1',
      operations: [],
      firstAnswerDeadlineMs: 1000,
    },
  },
  { kind: 'put-version', version: { id: 'v1', service: 's' } },
  {
    kind: 'put-upstream',
    upstream: {
      id: 'u1',
      kind: 'plain',
      dataCentre: 'a',
      host: 'h1',
      port: 1,
      services: ['s'],
      version: 'v1',
      capacity: { slots: 8, memoryTokens: 0 },
      coldSlots: 8,
      refusesOldFencingTokens: true,
      state: 'in-service',
    },
  },
];

const startNodes = async (count = 8, seed = 1) => {
  const fixture = await ControlFixture.create({ seed, nodes: createNodes(count) });
  await fixture.commit('set-up', [putDataCentre('a'), putDataCentre('b')]);
  const views = () => [...fixture.nodes.values()].map(({ control }) => control.view());
  await fixture.runUntil(
    () =>
      views().every((view) => view.configuration.revision === 1 && view.members.length === count),
    10_000,
  );
  return { ...fixture, views };
};

describe('control', () => {
  it('joins the nodes and applies a change on every node within 3 s', async () => {
    const { views, commit, runUntil, close } = await startNodes();
    expect(views().map(({ members }) => members.length)).to.deep.equal(Array(8).fill(8));
    await commit('o2', [{ kind: 'withdraw-data-centre', id: 'b' }]);
    expect(
      await runUntil(() => views().every((view) => view.withdrawnDataCentres.has('b')), 3000),
    ).to.equal(true);
    await close();
  });

  it('refuses new work within 3 s on a node that is cut off from the store and its peers', async () => {
    const { views, nodes, network, store, runUntil, close } = await startNodes();
    network.setPartition((a, b) => a === 'n3' || b === 'n3');
    store.setDisconnected('n3', true);
    const cutOff = () => nodes.get('n3')?.control.view().refusesNewWork === 'isolated';
    expect(await runUntil(cutOff, 3000)).to.equal(true);
    expect(views().filter((view) => view.refusesNewWork !== undefined)).to.have.length(1);
    network.setPartition(() => false);
    store.setDisconnected('n3', false);
    expect(await runUntil(() => !cutOff(), 5000)).to.equal(true);
    await close();
  });

  it('keeps every node accepting work during an outage of the store', async () => {
    const { views, store, run, close } = await startNodes();
    store.faults.outage = true;
    await run(20_000, () => {
      expect(views().map((view) => view.refusesNewWork)).to.deep.equal(Array(8).fill(undefined));
    });
    await close();
  });

  it('starts a node with the configuration of its peers during an outage of the store', async () => {
    const { nodes, start, store, run, runUntil, close } = await startNodes();
    store.faults.outage = true;
    await run(5000);
    await start({ nodeId: 'n9', dataCentre: 'a', region: 'r' });
    const isReady = () => {
      const view = nodes.get('n9')?.control.view();
      return view?.configuration.revision === 1 && view.refusesNewWork === undefined;
    };
    expect(await runUntil(isReady, 5000)).to.equal(true);
    await close();
  });

  it('does not rely on an old configuration after a freeze, and rejoins', async () => {
    const { nodes, views, run, commit, runUntil, close } = await startNodes();
    const frozen = nodes.get('n2');
    frozen?.process.freeze();
    await run(6000);
    await commit('o2', [{ kind: 'withdraw-data-centre', id: 'b' }]);
    frozen?.process.wake();
    const view = frozen?.control.view();
    expect(view?.refusesNewWork === 'isolated' || view?.withdrawnDataCentres.has('b')).to.equal(
      true,
    );
    const isBack = () =>
      views().every((each) => each.members.filter(({ status }) => status === 'alive').length === 8);
    expect(await runUntil(isBack, 5000)).to.equal(true);
    await close();
  });

  it('propagates a withdrawal made while the store is down, and commits it when the store is back', async () => {
    const { nodes, views, store, network, run, runUntil, close, clock } = await startNodes();
    store.faults.outage = true;
    await run(3000);
    const link = await network.open('operator', { host: 'operator', port: 1 })({
      onUp: () => undefined,
      onDown: () => undefined,
      onMessage: () => undefined,
    });
    link.dial({ host: 'n0', port: 7000 });
    await runUntil(() => link.isOpen('n0'), 1000);
    link.send('n0', {
      kind: 'provisional-withdrawal',
      withdrawal: { dataCentre: 'b', operationId: 'p1', issuedAt: clock.wallMs() },
      settled: false,
    });
    const isWithdrawn = () => views().every((view) => view.withdrawnDataCentres.has('b'));
    expect(await runUntil(isWithdrawn, 1000)).to.equal(true);
    store.faults.outage = false;
    const isStored = () =>
      views().every((view) => view.configuration.dataCentres.b?.state === 'withdrawn');
    expect(await runUntil(isStored, 10_000)).to.equal(true);
    expect(nodes.size).to.equal(8);
    await close();
  });

  it('grants limits whose sum stays within the capacity of an upstream', async () => {
    const { views, commit, run, close } = await startNodes(4);
    await commit('o2', upstreamChanges);
    const slots = () => views().map(({ limits }) => limits.get('u1')?.slots ?? 0);
    await run(6000, () => {
      expect(slots().reduce((sum, each) => sum + each, 0)).to.be.at.most(8);
    });
    expect(slots()).to.deep.equal([2, 2, 2, 2]);
    await close();
  });

  it('marks the upstreams of a leaving VM on every node, though only a few nodes read the VM list', async () => {
    const { views, commit, setVms, runUntil, close } = await startNodes();
    await commit('o2', upstreamChanges);
    setVms([{ id: 'vm', host: 'h1', dataCentre: 'a', state: 'leaving' }]);
    const isLeaving = () => views().every((view) => view.leavingUpstreams.has('u1'));
    expect(await runUntil(isLeaving, 3000)).to.equal(true);
    await close();
  });

  it('tells every node of a refusal by a leaving upstream, which a stale VM list does not revoke', async () => {
    const { nodes, views, commit, setVms, run, runUntil, close } = await startNodes();
    await commit('o2', upstreamChanges);
    setVms([{ id: 'vm', host: 'h1', dataCentre: 'a', state: 'live' }]);
    await runUntil(() => views().every((view) => view.configuration.revision === 2), 3000);
    nodes.get('n6')?.control.reportLeavingUpstream('u1');
    const isLeaving = () => views().every((view) => view.leavingUpstreams.has('u1'));
    expect(await runUntil(isLeaving, 1000)).to.equal(true);
    await run(20_000, () => {
      expect(isLeaving()).to.equal(true);
    });
    const isBack = () => views().every((view) => !view.leavingUpstreams.has('u1'));
    expect(await runUntil(isBack, 50_000)).to.equal(true);
    await close();
  });

  it('merges the members of two partitions after the partition heals', async () => {
    const { views, network, run, runUntil, close } = await startNodes();
    const side = (id: string) => Number(id.slice(1)) < 4;
    network.setPartition((a, b) => side(a) !== side(b));
    await run(10_000);
    expect(Math.max(...views().map(({ members }) => members.length))).to.equal(4);
    network.setPartition(() => false);
    const isWhole = () =>
      views().every(
        ({ members }) => members.filter(({ status }) => status === 'alive').length === 8,
      );
    expect(await runUntil(isWhole, 30_000)).to.equal(true);
    await close();
  });

  it('forwards a call to the node that its ticket names, but not to a later process of that node', async () => {
    const { nodes, advanceUntilDone, kill, start, run, close } = await startNodes();
    const [from, to] = [nodes.get('n0'), nodes.get('n5')];
    const call = {
      clientAccount: 'c',
      service: 's',
      idempotencyKey: 'k',
      operation: 'o',
      arguments: {},
    };
    const incarnation = to?.control.processIncarnation ?? 0;
    const answer = await advanceUntilDone(
      from?.control.forwardCall('n5', incarnation, call) ?? Promise.resolve(undefined),
    );
    expect(answer).to.deep.equal({ ok: true, result: null });
    kill('n5');
    await start({ nodeId: 'n5', dataCentre: 'b', region: 'r' });
    await run(5000);
    expect(await from?.control.forwardCall('n5', incarnation, call)).to.equal(undefined);
    await close();
  });
});
