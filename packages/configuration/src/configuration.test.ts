import { Clock, Random, VirtualClock } from '@zinniagrade/clock';
import type { Failure } from '@zinniagrade/errors';
import { FakeStore } from '@zinniagrade/platform';
import {
  type Change,
  type Configuration,
  type Move,
  type Upstream,
  emptyConfiguration,
} from '@zinniagrade/types';
import { expect } from 'chai';
import { applyChanges } from './apply-changes.js';
import { parseChangeSet } from './change-schema.js';
import { commitChangeSet } from './commit.js';
import { splitConfiguration, headKey, joinFragments, parseHead } from './head.js';
import { validateChanges } from './validate-changes.js';
import { readConfiguration } from './stored-configuration.js';

const upstream: Upstream = {
  id: 'u1',
  kind: 'engine',
  dataCentre: 'a',
  host: '127.0.0.1',
  port: 1,
  services: ['maps'],
  version: 'v1',
  capacity: { slots: 8, memoryTokens: 1000 },
  coldSlots: 1,
  refusesOldFencingTokens: true,
  state: 'in-service',
};

const move: Move = {
  id: 'm1',
  service: 'maps',
  fromVersion: 'v1',
  toVersion: 'v2',
  startAt: 0,
  deadlineAt: 10_000,
  state: 'planned',
};

const putDataCentre = (id: string): Change => ({
  kind: 'put-data-centre',
  dataCentre: { id, region: 'r', state: 'in-service' },
});

const initialChanges: readonly Change[] = [
  putDataCentre('a'),
  {
    kind: 'put-service',
    service: {
      id: 'maps',
      kind: 'generation',
      class: 'long-generation',
      model: 'm',
      version: 'v1',
      operations: [],
      firstAnswerDeadlineMs: 1600,
    },
  },
  { kind: 'put-version', version: { id: 'v1', service: 'maps' } },
  { kind: 'put-version', version: { id: 'v2', service: 'maps' } },
  { kind: 'put-upstream', upstream },
];

const configured: Configuration = applyChanges(emptyConfiguration, initialChanges, 1);

const faultOf = (changes: readonly Change[], configuration = configured): string =>
  validateChanges(configuration, { operationId: 'o', changes }, 1000).caseOf({
    Left: ({ detail }) => detail,
    Right: () => '',
  });

describe('validateChanges', () => {
  const cases: readonly (readonly [string, readonly Change[], RegExp])[] = [
    [
      'a valid change set',
      [...initialChanges, putDataCentre('b'), { kind: 'withdraw-data-centre', id: 'a' }],
      /^$/,
    ],
    [
      'an unknown data centre of an upstream',
      [{ kind: 'put-upstream', upstream: { ...upstream, dataCentre: 'x' } }],
      /unknown data centre "x"/,
    ],
    ['an unknown upstream', [{ kind: 'remove-upstream', id: 'nope' }], /unknown upstream "nope"/],
    [
      'an upstream id that is a built-in property name',
      [{ kind: 'remove-upstream', id: 'toString' }],
      /unknown/,
    ],
    [
      'an unknown service',
      [{ kind: 'put-upstream', upstream: { ...upstream, services: ['x'] } }],
      /unknown service "x"/,
    ],
    [
      'a move whose deadline has passed',
      [{ kind: 'start-move', move: { ...move, deadlineAt: 900 } }],
      /deadline passed 100 ms ago/,
    ],
    [
      'two moves on one service',
      [
        { kind: 'start-move', move },
        { kind: 'start-move', move: { ...move, id: 'm2' } },
      ],
      /changes\.1.*already has the move "m1"/,
    ],
    [
      'the withdrawal of the last data centre',
      [{ kind: 'withdraw-data-centre', id: 'a' }],
      /last data centre/,
    ],
    [
      'the end of an unknown move',
      [{ kind: 'end-move', id: 'm9', outcome: 'done', reason: '' }],
      /unknown move/,
    ],
  ];
  for (const [title, changes, expected] of cases) {
    it(`reports ${title} as ${String(expected)}`, () => {
      expect(faultOf(changes)).to.match(expected);
    });
  }

  it('names the invalid field of a malformed change set', () => {
    const document = { operationId: 'o', changes: [{ kind: 'withdraw-data-centre', id: 3 }] };
    expect(parseChangeSet(document).extract())
      .to.have.property('detail')
      .that.matches(/changes\.0\.id/);
  });

  it('sets the version of the service when a move ends as done', () => {
    const done: Change = { kind: 'end-move', id: 'm1', outcome: 'done', reason: 'good' };
    const after = applyChanges(configured, [{ kind: 'start-move', move }, done], 2);
    expect(after.services.maps?.version).to.equal('v2');
  });
});

describe('base parts', () => {
  it('stay under the size limit and join to the original configuration', () => {
    const fragments = splitConfiguration(configured, 300);
    expect(fragments.length).to.be.greaterThan(2);
    for (const fragment of fragments) {
      expect(JSON.stringify(fragment).length).to.be.at.most(400);
    }
    expect(joinFragments(1, fragments)).to.deep.equal(configured);
  });
});

const failureOf = (result: unknown): Failure => result as Failure;

/** Advances the virtual clock until the promise settles. */
const runUntilSettled = async <T>(clock: VirtualClock, work: Promise<T>): Promise<T> => {
  const progress = { isDone: false };
  const done = work.finally(() => {
    progress.isDone = true;
  });
  while (!progress.isDone) {
    clock.advance(10);
    await new Promise(setImmediate);
  }
  return done;
};

const createFixture = () => {
  const clock = VirtualClock.create();
  const fakeStore = FakeStore.create(clock, Random.create(1));
  const store = fakeStore.client('operator');
  const commit = (operationId: string, changes: readonly Change[], expectedRevision?: number) =>
    runUntilSettled(
      clock,
      commitChangeSet(store, { operationId, changes }, { clock, expectedRevision }).run(),
    );
  const read = () => runUntilSettled(clock, readConfiguration(store).run());
  return { clock, fakeStore, store, commit, read };
};

describe('commitChangeSet', () => {
  it('resolves a lost reply by reading the head back, and applies the change once', async () => {
    const { fakeStore, commit, read } = createFixture();
    fakeStore.faults.lostReplyShare = 1;
    expect((await commit('o1', initialChanges)).extract()).to.equal(1);
    expect((await commit('o1', initialChanges)).extract()).to.equal(1);
    expect((await read()).map(({ configuration }) => configuration.revision).extract()).to.equal(1);
  });

  it('does not apply a change twice when the first write takes effect late', async () => {
    const { fakeStore, commit, read } = createFixture();
    fakeStore.faults.lateWriteShare = 1;
    fakeStore.faults.lateWriteMs = 100;
    await commit('o1', initialChanges);
    fakeStore.faults.lateWriteShare = 0;
    await commit('o2', [putDataCentre('b')]);
    const { head } = (await read()).unsafeCoerce();
    const ids = head.changes.map(({ operationId }) => operationId);
    expect(ids).to.deep.equal(['o1', 'o2']);
  });

  it('names the current revision in a revision conflict', async () => {
    const { commit } = createFixture();
    await commit('o1', initialChanges);
    const failure = failureOf((await commit('o2', [putDataCentre('b')], 0)).extract());
    expect(failure).to.include({ kind: 'revision-conflict' });
    expect(failure.detail).to.match(/revision 1 was accepted/);
  });

  it('accepts all changes of concurrent operators that expect no revision', async () => {
    const { clock, store, read } = createFixture();
    const ids = ['a', 'b', 'c', 'd', 'e'];
    const commits = ids.map((id) =>
      commitChangeSet(store, { operationId: id, changes: [putDataCentre(id)] }, { clock }).run(),
    );
    await runUntilSettled(clock, Promise.all(commits));
    const { configuration } = (await read()).unsafeCoerce();
    expect(Object.keys(configuration.dataCentres).sort()).to.deep.equal(ids);
    expect(configuration.revision).to.equal(5);
  });

  it('fails during a store outage without a write', async () => {
    const { fakeStore, commit } = createFixture();
    fakeStore.faults.outage = true;
    expect(failureOf((await commit('o1', initialChanges)).extract()).kind).to.equal(
      'store-unavailable',
    );
    expect(fakeStore.usage().writes).to.equal(0);
  });

  it('rejects an operation id that was used for other changes', async () => {
    const { commit } = createFixture();
    await commit('o1', initialChanges);
    const failure = failureOf((await commit('o1', [putDataCentre('b')])).extract());
    expect(failure.kind).to.equal('invalid-configuration');
  });

  it('compacts old changes into a base and keeps the log bounded', async () => {
    const { fakeStore, commit, read } = createFixture();
    for (let index = 0; index < 200; index += 1) {
      await commit(`o${index}`, [putDataCentre(`d${index}`)]);
    }
    const { configuration, head } = (await read()).unsafeCoerce();
    expect(Object.keys(configuration.dataCentres)).to.have.length(200);
    expect(head.changes.length).to.be.at.most(64);
    expect(head.baseRevision).to.be.greaterThan(100);
    expect(parseHead(fakeStore.peek(headKey)?.value).isRight()).to.equal(true);
  });
});

describe('commitChangeSet with the system clock', () => {
  it('commits a change set', async () => {
    const clock = Clock.create();
    const store = FakeStore.create(clock, Random.create(1)).client();
    const result = await commitChangeSet(
      store,
      { operationId: 'o', changes: initialChanges },
      { clock },
    );
    expect(result.extract()).to.equal(1);
  });
});
