import { VirtualClock } from '@zinniagrade/clock';
import type { Configuration, Scaling, Upstream } from '@zinniagrade/serving';
import { expect } from 'chai';
import { ClusterState } from './cluster-state.js';
import type { DutyOutcome } from './duty-holder.js';
import { Log, type LogFields } from './log.js';
import { Registry } from 'prom-client';
import type { PeerTopic, RowFields } from './peer-topics.js';
import { ScalingMetrics } from './scaling-metrics.js';
import { UpstreamOrders } from './upstream-orders.js';

const limits: Scaling = { min: 1, max: 9, bootMs: 4000 };

const createConfiguration = (scaling: Scaling | string | null): Configuration => ({
  version: 1,
  routes: [],
  services: new Map([
    [
      'text',
      {
        name: 'text',
        healthPath: '/',
        maxConnections: 9,
        coldPerSecond: 0,
        ...(scaling === null ? {} : { scaling }),
      },
    ],
  ]),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
  clientAccounts: [],
});

const createUpstream = (id: string, dataCentre: string): Upstream => ({
  ...{ id, dataCentre, service: 'text', address: '127.0.0.1:1', version: 'v1', slots: 10 },
  ...{ state: 'ready', coldLeftMs: 0 },
});

interface SentOrder {
  readonly atMs: number;
  readonly dataCentre: string;
  readonly count: number;
  readonly token: number;
}

interface FixtureOptions {
  /** Left out of the configuration if null. */
  readonly scaling?: Scaling | string | null;
  readonly dataCentres?: readonly string[];
  readonly maxCallsPerSecond?: number;
}

/** A node that holds all subjects, in a cluster with two upstreams in each data centre. */
const createFixture = ({
  scaling = limits,
  dataCentres = ['a'],
  maxCallsPerSecond = 100,
}: FixtureOptions = {}) => {
  const clock = VirtualClock.create();
  const lines: { name: string; fields: LogFields | undefined }[] = [];
  const log = {
    ...Log.createSilent(),
    event: (name: string, fields?: LogFields) => lines.push({ name, fields }),
  };
  const cluster = ClusterState.create(Log.createSilent());
  const registry = new Registry();
  const sent: SentOrder[] = [];
  const rows: RowFields[] = [];
  const offered = new Set<string>();
  let topic: PeerTopic | undefined;
  const state = {
    holds: true,
    token: 5,
    /** Requests at each upstream. */
    requests: 0,
    outcome: 'done' as DutyOutcome,
    /** Other nodes that are linked. */
    alive: new Set<string>(),
  };
  const orders = UpstreamOrders.create(clock, log, ScalingMetrics.create(registry), cluster, {
    node: 'self',
    holder: {
      offer: (subject) => offered.add(subject),
      withdraw: (subject) => offered.delete(subject),
      grantOf: (subject) =>
        state.holds && offered.has(subject)
          ? { token: state.token, mayAct: () => true }
          : undefined,
    },
    client: {
      orderUpstreams: ({ token }, { dataCentre, count }) => {
        sent.push({ atMs: clock.monotonicMs(), dataCentre, count, token });
        return Promise.resolve(state.outcome);
      },
    },
    peers: {
      peerUse: (upstream) => ({
        ...{ upstream, requests: state.requests, promptTokens: 0, memoryTokens: 0 },
        copyTokens: 0,
      }),
      aliveNodes: () => state.alive,
      openTopic: (opened) => {
        topic = opened;
        return (fields) => rows.push(fields);
      },
    },
    maxCallsPerSecond,
    waitingTokens: () => undefined,
    reserveShare: () => 0,
  });
  cluster.apply({ kind: 'configuration', configuration: createConfiguration(scaling) }, 1, 0);
  for (const dataCentre of dataCentres) {
    for (const number of ['1', '2']) {
      const id = `${dataCentre}${number}`;
      const upstream = createUpstream(id, dataCentre);
      cluster.apply({ kind: 'upstream', id, upstream }, 1, 0);
    }
  }
  return {
    ...{ clock, cluster, registry, orders, state, sent, rows, lines, offered },
    receive: (fields: RowFields) => topic?.receive('other', fields),
    /** Lets time pass, and outcomes of calls arrive. */
    run: async (durationMs: number) => {
      for (let passedMs = 0; passedMs < durationMs; passedMs += 250) {
        clock.advance(250);
        await new Promise(setImmediate);
      }
    },
  };
};

describe('orders of upstreams by a node', () => {
  it('are sent by the holder only, which says what it has ordered', async () => {
    // Guards against two nodes that order at the same time, and orders that nobody can explain.
    const { state, sent, lines, run, registry, orders, rows } = createFixture();
    state.holds = false;
    state.requests = 20;
    await run(5000);
    expect(sent).to.deep.equal([]);
    state.holds = true;
    await run(1000);
    expect(sent.map(({ count, token }) => [count, token])).to.deep.equal([[7, 5]]);
    const [line] = lines.filter(({ name }) => name === 'upstreams ordered');
    expect(line?.fields).to.include({
      ...{ subject: 'scale/text/a', token: 5, count: 7, before: 2, load: 4, serving: 2 },
    });
    expect(await registry.metrics()).to.include('data_centre="a",kind="ordered"} 7');
    expect(rows.map((fields) => [fields[4], fields[6]])).to.deep.equal([
      [7, false],
      [7, true],
    ]);
    orders.stop();
    state.requests = 40;
    await run(5000);
    expect(sent.length).to.equal(1);
  });

  it('are the same again after a lost reply', async () => {
    // Guards against an order that is never carried out because it counts as sent.
    const { state, sent, run } = createFixture();
    state.requests = 20;
    state.outcome = 'unknown';
    await run(2500);
    state.outcome = 'done';
    await run(5000);
    expect(sent.map(({ count }) => count)).to.deep.equal([7, 7]);
  });

  it('are repeated after a lost reply even if a repeat is refused', async () => {
    // Guards against an order that counts as taken because the platform was busy for a moment.
    const { state, sent, run } = createFixture();
    state.requests = 20;
    for (const outcome of ['unknown', 'refused', 'done'] as const) {
      state.outcome = outcome;
      const before = sent.length;
      for (let waits = 0; sent.length === before && waits < 20; waits += 1) {
        await run(250);
      }
    }
    await run(5000);
    expect(sent.map(({ count }) => count)).to.deep.equal([7, 7, 7]);
  });

  it('are left to nodes that hear of more others', async () => {
    // Guards against a holder that is cut off from the others and knows only its own load.
    const { state, run, offered, cluster } = createFixture();
    for (const node of ['x', 'y', 'z']) {
      const entry = { ...{ node, dataCentre: 'a', callerAddress: '127.0.0.1:1' }, capacity: 1 };
      cluster.apply({ kind: 'node', node, entry: { ...entry, leaving: false } }, 1, 0);
    }
    state.alive = new Set(['x']);
    await run(1000);
    expect(offered.size).to.equal(0);
    state.alive = new Set(['x', 'y']);
    await run(1000);
    expect(offered.size).to.equal(1);
  });

  it('are kept with the holder while the platform refuses them, and become rare', async () => {
    // Guards against calls without end that the platform doesn't want.
    const { state, sent, run, offered } = createFixture();
    state.requests = 20;
    state.outcome = 'refused';
    await run(30_000);
    expect(offered.size).to.equal(1);
    expect(sent.length).to.be.within(3, 8);
    expect(new Set(sent.map(({ count }) => count))).to.deep.equal(new Set([7]));
  });

  it('of the former holder are sent again if nobody knows whether they were taken', async () => {
    // Guards against a need that is forgotten with the node that was killed while it ordered.
    const { sent, run, receive, state } = createFixture();
    state.holds = false;
    await run(3000);
    expect(receive(['text', 'a', 4, 0, 3, 100, false])).to.equal(true);
    // An earlier row that arrives later.
    expect(receive(['text', 'a', 3, 7, 9, 0, true])).to.equal(true);
    state.holds = true;
    await run(2000);
    expect(sent.map(({ count, token }) => [count, token])).to.deep.equal([[3, 5]]);
  });

  it('of the former holder count, and rows that are no orders do not', async () => {
    // Guards against a new holder that takes back what its predecessor ordered, or trusts any row.
    const { sent, run, receive, state } = createFixture();
    state.requests = 12;
    state.holds = false;
    await run(3000);
    expect(receive(['text', 'a', 4, 0, 6, 100, true])).to.equal(true);
    expect(receive(['text', 'a', 9, 0, -6, 100, true])).to.equal(false);
    expect(receive(['text', 'a', 9, 0, 6])).to.equal(false);
    state.holds = true;
    await run(5000);
    expect(sent).to.deep.equal([]);
  });

  it('keep within the calls that the platform takes, over all subjects', async () => {
    // Guards against refusals of calls because each data centre is ordered for at the same time.
    const dataCentres = ['a', 'b', 'c', 'd', 'e'];
    const { state, sent, run } = createFixture({ dataCentres, maxCallsPerSecond: 2 });
    state.requests = 20;
    await run(20_000);
    expect(new Set(sent.map(({ dataCentre }) => dataCentre)).size).to.equal(5);
    for (const { atMs } of sent) {
      const inSecond = sent.filter((other) => other.atMs >= atMs && other.atMs < atMs + 1000);
      expect(inSecond.length).to.be.at.most(2);
    }
  });

  it('are not sent for a withdrawn data centre', async () => {
    // Guards against upstreams that are paid for where no request goes.
    const { state, sent, run, cluster } = createFixture({ dataCentres: ['a', 'b'] });
    cluster.apply({ kind: 'withdrawal', dataCentre: 'a', withdrawn: true }, 2, 0);
    state.requests = 20;
    await run(10_000);
    expect(new Set(sent.map(({ dataCentre }) => dataCentre))).to.deep.equal(new Set(['b']));
  });

  it('need limits in the configuration; faults of them are logged once', async () => {
    // Guards against orders without bounds, and a line for each look at the configuration.
    const fault = createFixture({ scaling: 'boot_s: missing' });
    const none = createFixture({ scaling: null });
    for (const { run, state } of [fault, none]) {
      state.requests = 20;
      await run(10_000);
    }
    expect(fault.sent).to.deep.equal([]);
    expect(fault.offered.size).to.equal(0);
    expect(fault.lines.map(({ fields }) => fields?.reason)).to.deep.equal(['boot_s: missing']);
    expect(none.lines).to.deep.equal([]);
  });

  it('end with their subject when the configuration no longer asks for them', async () => {
    // Guards against a subject that stays held, and renewed, for nothing.
    const { run, cluster, offered } = createFixture();
    await run(1000);
    expect(offered.size).to.equal(1);
    cluster.apply({ kind: 'configuration', configuration: createConfiguration(null) }, 2, 0);
    await run(1000);
    expect(offered.size).to.equal(0);
  });
});
