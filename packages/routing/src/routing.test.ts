import { Random } from '@zinniagrade/clock';
import { emptyCurve } from '@zinniagrade/length-estimates';
import type { HeldLimit, Member, Move, NodeView, Service, Upstream } from '@zinniagrade/types';
import { emptyConfiguration } from '@zinniagrade/types';
import { expect } from 'chai';
import type { OwnUsage, RoutingRequest } from './index.js';
import { PrefixIndex, RoutingTable, chooseUpstream, promptPrefixes } from './index.js';

const service: Service = {
  id: 's',
  kind: 'generation',
  class: 'long-generation',
  model: 'm',
  version: 'v1',
  operations: [],
  firstAnswerDeadlineMs: 1600,
};

const upstream = (id: string, part: Partial<Upstream> = {}): Upstream => ({
  id,
  kind: 'engine',
  dataCentre: 'd1',
  host: '127.0.0.1',
  port: 1,
  services: ['s'],
  version: 'v1',
  capacity: { slots: 10, memoryTokens: 1000 },
  coldSlots: 1,
  refusesOldFencingTokens: true,
  state: 'in-service',
  ...part,
});

const limit: HeldLimit = { slots: 5, memoryTokens: 500, warm: true, lapsesAt: 1000 };

interface UpstreamUsage {
  readonly requests: number;
  readonly memoryTokens: number;
}

const ownUse = ({ requests, memoryTokens }: UpstreamUsage): OwnUsage => ({
  requests,
  memory: emptyCurve.map(() => memoryTokens),
});

const createChooser = (upstreams: readonly Upstream[], part: Partial<NodeView> = {}) => {
  const dataCentre = (id: string) => ({ id, region: 'r', state: 'in-service' as const });
  const view: NodeView = {
    configuration: {
      ...emptyConfiguration,
      dataCentres: { d1: dataCentre('d1'), d2: dataCentre('d2') },
      services: { s: service },
      upstreams: Object.fromEntries(upstreams.map((entry) => [entry.id, entry])),
    },
    members: [
      {
        nodeId: 'n1',
        incarnation: 1,
        processIncarnation: 1,
        host: '127.0.0.1',
        callerPort: 1,
        linkPort: 2,
        dataCentre: 'd1',
        region: 'r',
        status: 'alive',
      },
    ],
    withdrawnDataCentres: new Set(),
    leavingUpstreams: new Set(),
    limits: new Map(upstreams.map(({ id }) => [id, limit])),
    loadReports: new Map(),
    moveShares: new Map(),
    ...part,
  };
  const table = RoutingTable.create('n1', 'd1', view);
  const random = Random.create(1);
  return (
    request: Partial<RoutingRequest> = {},
    uses: Readonly<Record<string, UpstreamUsage>> = {},
    now = 0,
  ): string =>
    chooseUpstream(
      {
        table,
        view: { ...view, configuration: { ...view.configuration, ...part.configuration } },
        ownUsage: (id) => ownUse(uses[id] ?? { requests: 0, memoryTokens: 0 }),
        now,
        wallNow: now,
        random,
      },
      {
        service,
        memory: emptyCurve.map(() => 100),
        tokensPerBlock: 64,
        cachedBlocks: new Map(),
        excluded: new Set(),
        ...request,
      },
    )
      .map((choice) => choice.upstream.id)
      .mapLeft((failure) => failure.kind)
      .extract();
};

describe('routing', () => {
  it('chooses the upstream with the most room under the held limits', () => {
    const choose = createChooser([upstream('u1'), upstream('u2')]);
    expect(choose({}, { u1: { requests: 2, memoryTokens: 200 } })).to.equal('u2');
  });

  it('sends nothing beyond a limit, after it has lapsed, or without one', () => {
    const choose = createChooser([upstream('u1')]);
    expect(choose({}, { u1: { requests: 5, memoryTokens: 100 } })).to.equal('overloaded');
    expect(choose({}, { u1: { requests: 1, memoryTokens: 401 } })).to.equal('overloaded');
    expect(choose({}, {}, 1000)).to.equal('overloaded');
    expect(createChooser([upstream('u1')], { limits: new Map() })()).to.equal('overloaded');
  });

  it('excludes leaving upstreams and withdrawn data centres', () => {
    const both = [upstream('u1'), upstream('u2', { dataCentre: 'd2' })];
    const withdrawn = createChooser(both, { withdrawnDataCentres: new Set(['d1']) });
    const leaving = createChooser(both, { leavingUpstreams: new Set(['u2']) });
    for (let i = 0; i < 20; i += 1) {
      expect(withdrawn()).to.equal('u2');
      expect(leaving()).to.equal('u1');
    }
    const none = createChooser([upstream('u1', { state: 'leaving' })]);
    expect(none()).to.equal('no-upstream');
  });

  it('prefers an upstream with a cached prefix, unless its load is too high', () => {
    const choose = createChooser([upstream('u1'), upstream('u2')]);
    const matches = new Map([['u1', 32]]);
    expect(choose({ cachedBlocks: matches }, { u1: { requests: 0, memoryTokens: 50 } })).to.equal(
      'u1',
    );
    expect(choose({ cachedBlocks: matches }, { u1: { requests: 3, memoryTokens: 350 } })).to.equal(
      'u2',
    );
  });

  it('sends only sampled requests to the new version while the share is valid, and falls back to the old version', () => {
    const move: Move = {
      id: 'mv',
      service: 's',
      fromVersion: 'v1',
      toVersion: 'v2',
      startAt: 0,
      deadlineAt: 10_000,
      state: 'planned',
    };
    const upstreams = [upstream('u1'), upstream('u2', { version: 'v2' })];
    const choose = createChooser(upstreams, {
      configuration: {
        ...emptyConfiguration,
        dataCentres: { d1: { id: 'd1', region: 'r', state: 'in-service' } },
        upstreams: Object.fromEntries(upstreams.map((entry) => [entry.id, entry])),
        moves: { mv: move },
      },
      moveShares: new Map([['mv', { share: 0.05, lapsesAt: 500 }]]),
    });
    const sampled = { isSampledForNewVersion: true };
    expect(choose(sampled)).to.equal('u2');
    expect(Array.from({ length: 200 }, () => choose())).not.to.include('u2');
    expect(choose(sampled, {}, 600)).not.to.equal('u2');
    const newIsFull = { u2: { requests: 5, memoryTokens: 0 } };
    expect(choose(sampled, newIsFull)).to.equal('u1');
  });
});

describe('routing table', () => {
  it('reuses owners of the previous table only where they still hold', () => {
    const upstreams = Array.from({ length: 60 }, (_, i) =>
      upstream(`u${i}`, { dataCentre: `d${i % 2}` }),
    );
    const dataCentre = (id: string) => ({ id, region: 'r', state: 'in-service' as const });
    const configuration = {
      ...emptyConfiguration,
      dataCentres: { d0: dataCentre('d0'), d1: dataCentre('d1') },
      upstreams: Object.fromEntries(upstreams.map((entry) => [entry.id, entry])),
    };
    const member = (index: number): Member => ({
      nodeId: `n${index}`,
      incarnation: 1,
      processIncarnation: 1,
      host: '127.0.0.1',
      callerPort: 1,
      linkPort: 2,
      dataCentre: `d${index % 2}`,
      region: 'r',
      status: 'alive',
    });
    let table = RoutingTable.create('n0', 'd0', { configuration, members: [] });
    // A node leaves, nodes join, and a data centre loses all its nodes.
    for (const nodes of [
      [0, 1, 2, 3],
      [0, 1, 3],
      [0, 1, 3, 5, 4],
      [0, 4],
      [0, 1, 2, 3],
    ]) {
      const inputs = { configuration, members: nodes.map(member) };
      table = RoutingTable.update(table, inputs);
      expect(table).to.deep.equal(RoutingTable.create('n0', 'd0', inputs));
    }
  });
});

describe('prefix index', () => {
  const prefixes = promptPrefixes('x'.repeat(1024));

  it('counts only leading blocks that are cached without a gap', () => {
    const index = PrefixIndex.create();
    const [a = '', b = '', c = ''] = prefixes;
    index.recordDispatch('u1', [a, b]);
    index.apply('u2', [
      { sequence: 1, kind: 'stored', prefix: b },
      { sequence: 2, kind: 'stored', prefix: c },
    ]);
    expect([...index.countCachedBlocks(prefixes)]).to.eql([['u1', 2]]);
    index.apply('u1', [{ sequence: 1, kind: 'evicted', prefix: b }]);
    expect([...index.countCachedBlocks(prefixes)]).to.eql([['u1', 1]]);
    index.removeUpstream('u1');
    expect(index.countCachedBlocks(prefixes).size).to.equal(0);
  });
});
