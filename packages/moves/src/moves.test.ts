import { Random } from '@zinniagrade/clock';
import type { Move, VersionEvidence } from '@zinniagrade/types';
import { expect } from 'chai';
import { addEvidence, evidenceOf, subtractEvidence } from './evidence.js';
import { judgeVersion } from './judge-version.js';
import { NodeMove } from './node-move.js';
import { coordinatorOf, phaseOf } from './move-phase.js';
import { Moves } from './moves.js';
import type { MovesAction, MovesEvent } from './moves-event.js';
import { VersionPacer } from './version-pacer.js';

const createMove = (overrides: Partial<Move> = {}): Move => ({
  id: 'm',
  service: 's',
  fromVersion: 'old',
  toVersion: 'new',
  startAt: 0,
  deadlineAt: 60_000,
  state: 'planned',
  ...overrides,
});

const answers = (version: string, good: number, bad: number, route = 'r'): VersionEvidence => {
  const single = evidenceOf({ version, service: 's', route, failed: false, firstTokenMs: 300 });
  return {
    ...single,
    succeeded: good,
    failed: bad,
    firstTokenCounts: single.firstTokenCounts.map((count) => count * good),
  };
};

const judge = (...evidence: VersionEvidence[]) => {
  const total = addEvidence({}, evidence);
  return judgeVersion({
    fromVersion: 'old',
    toVersion: 'new',
    total,
    sinceRaise: total,
    recent: [],
    moveSeconds: 60,
  });
};

/** Nodes that exchange messages without delay; messages from and to isolated nodes are lost. */
const createCluster = (ids: readonly string[], move: Move) => {
  const isolated = new Set<string>();
  const actions: MovesAction[] = [];
  let wallMs = 0;
  const nodes = new Map(ids.map((id) => [id, Moves.create(id, 1)]));
  const deliver = (id: string, event: MovesEvent): void => {
    const state = nodes.get(id);
    if (state === undefined) {
      return;
    }
    const stepped = Moves.step(state, event, { monotonicMs: wallMs, wallMs });
    nodes.set(id, stepped.state);
    for (const action of stepped.actions) {
      actions.push(action);
      if (action.kind !== 'send' || isolated.has(id) || isolated.has(action.to)) {
        continue;
      }
      if (action.message.kind === 'move-evidence') {
        const { reports = [] } = action.message;
        deliver(action.to, { kind: 'reports-received', from: id, reports });
      } else if (action.message.kind === 'move-grant') {
        deliver(action.to, { kind: 'grants-received', from: id, shares: action.message.shares });
      }
    }
  };
  const deliverToAll = (event: MovesEvent): void => {
    for (const id of nodes.keys()) {
      deliver(id, event);
    }
  };
  const configure = (moves: Record<string, Move>): void => {
    deliverToAll({ kind: 'configuration', moves });
  };
  const run = (ms: number, evidence: readonly VersionEvidence[] = []): void => {
    for (const end = wallMs + ms; wallMs < end; wallMs += 100) {
      deliverToAll({ kind: 'outcomes', evidence });
      deliverToAll({ kind: 'tick' });
    }
  };
  const members = (alive: readonly string[]): void => {
    for (const id of nodes.keys()) {
      if (!alive.includes(id)) {
        nodes.delete(id);
      }
    }
    deliverToAll({ kind: 'members', nodes: alive, leaving: [] });
  };
  const leave = (id: string): void => {
    nodes.delete(id);
    deliverToAll({ kind: 'members', nodes: ids, leaving: [id] });
  };
  const shareOf = (id: string): number => {
    const held = Moves.shares(nodes.get(id) ?? Moves.create(id, 1), wallMs).get(move.id);
    return held !== undefined && held.lapsesAt > wallMs ? held.share : 0;
  };
  members(ids);
  configure({ [move.id]: move });
  return { run, members, leave, configure, shareOf, isolated, actions };
};

const ids = ['a', 'b', 'c'];
const coordinator = coordinatorOf('m', ids) ?? '';
const others = ids.filter((id) => id !== coordinator);
const goodTraffic = [answers('old', 9, 0), answers('new', 1, 0)];

describe('evidence', () => {
  it('subtracts exactly the earlier counts', () => {
    const before = addEvidence({}, [answers('new', 5, 1)]);
    const after = addEvidence(before, [answers('new', 2, 1)]);
    expect(subtractEvidence(after, before)).to.deep.equal(addEvidence({}, [answers('new', 2, 1)]));
  });
});

describe('version judgement', () => {
  it('judges a version bad that fails where the old version does not', () => {
    expect(judge(answers('old', 400, 2), answers('new', 10, 10)).bad).to.match(/failures/);
  });

  it('finds a fault on one route that is hidden in the counts over all routes', () => {
    const judged = judge(
      answers('old', 4000, 20, 'x'),
      answers('old', 200, 1, 'y'),
      answers('new', 2000, 10, 'x'),
      answers('new', 5, 15, 'y'),
    );
    expect(judged.bad).to.equal('failures on route y');
  });

  it('counts answers as slow if they fall into buckets that are rare for the old version', () => {
    const slow = evidenceOf({
      version: 'new',
      service: 's',
      route: 'r',
      failed: false,
      firstTokenMs: 1500,
    });
    const judged = judge(answers('old', 400, 2), ...Array.from({ length: 20 }, () => slow));
    expect(judged.bad).to.match(/slow first tokens/);
  });

  it('does not judge a version good before it has given enough answers', () => {
    expect(judge(answers('old', 400, 2), answers('new', 20, 0)).good).to.equal(false);
    expect(judge(answers('old', 400, 2), answers('new', 80, 0)).good).to.equal(true);
  });

  it('does not count failures against the new version that the old version has too', () => {
    expect(judge(answers('old', 200, 200), answers('new', 40, 40)).bad).to.equal(undefined);
  });
});

describe('move phase', () => {
  it('is taken-back from the deadline on, unless the configuration says done', () => {
    expect(phaseOf(createMove(), 59_999)).to.equal('running');
    expect(phaseOf(createMove(), 60_000)).to.equal('taken-back');
    expect(phaseOf(createMove({ state: 'done' }), 60_000)).to.equal('done');
  });
});

describe('grant at a node', () => {
  const grant = { move: 'm', share: 0.05, sequence: 1, coordinator: 'a', validMs: 2500 };
  const reported = NodeMove.report(
    NodeMove.withCoordinator(NodeMove.create(createMove()), 'a'),
    1,
    0,
  );

  it('is valid from the time of the report that it answers, however late it arrives', () => {
    const { held } = NodeMove.withGrant(reported.state, 'a', { ...grant, reportSequence: 1 });
    expect(held).to.deep.equal({ share: 0.05, lapsesAt: 2500 });
  });

  it('is ignored if it is not from the coordinator or answers no report', () => {
    const fromOther = NodeMove.withGrant(reported.state, 'b', { ...grant, reportSequence: 1 });
    expect(fromOther.held.share).to.equal(0);
    expect(NodeMove.withGrant(reported.state, 'a', grant).held.share).to.equal(0);
  });
});

describe('move', () => {
  it('raises the share in steps and commits done at least 5 s before the deadline', () => {
    const { run, actions } = createCluster(ids, createMove());
    run(54_000, goodTraffic);
    const raised = actions.filter(({ kind }) => kind === 'timeline');
    expect(raised).to.have.length(4);
    const commit = actions.find(({ kind }) => kind === 'commit');
    expect(commit).to.deep.include({ notAfterWallMs: 55_000 });
  });

  it('revokes all shares within a second of a bad verdict, and grants none afterwards', () => {
    const { run, shareOf, actions } = createCluster(ids, createMove());
    run(10_000, goodTraffic);
    expect(others.map(shareOf)).to.deep.equal([0.05, 0.05]);
    run(1000, [answers('old', 9, 0), answers('new', 0, 3)]);
    expect(ids.map(shareOf)).to.deep.equal([0, 0, 0]);
    run(20_000, goodTraffic);
    expect(ids.map(shareOf)).to.deep.equal([0, 0, 0]);
    expect(actions.some((action) => action.kind === 'commit')).to.equal(true);
  });

  it('lets the shares of all nodes lapse 2.5 s after the evidence of one of them stops', () => {
    const { run, shareOf, isolated } = createCluster(ids, createMove());
    run(10_000, goodTraffic);
    isolated.add(others[0] ?? '');
    run(2600, goodTraffic);
    expect(ids.map(shareOf)).to.deep.equal([0, 0, 0]);
  });

  it('keeps the verdict and raises no share when the coordinator fails', () => {
    const good = createCluster(ids, createMove());
    good.run(28_000, goodTraffic);
    const before = good.shareOf(others[0] ?? '');
    good.members(others);
    good.run(2500, goodTraffic);
    expect(good.shareOf(others[0] ?? '')).to.equal(before);
    const bad = createCluster(ids, createMove());
    bad.run(10_000, goodTraffic);
    bad.run(1000, [answers('new', 0, 3)]);
    bad.members(others);
    bad.run(10_000, goodTraffic);
    expect(others.map(bad.shareOf)).to.deep.equal([0, 0]);
  });

  it('grants no share again if the evidence of a fault was lost with the coordinator', () => {
    const { run, members, isolated, shareOf } = createCluster(ids, createMove());
    run(10_000, goodTraffic);
    isolated.add(coordinator);
    run(500, [answers('old', 9, 0), answers('new', 0, 2)]);
    members(others);
    isolated.clear();
    run(10_000, goodTraffic);
    expect(others.map(shareOf)).to.deep.equal([0, 0]);
  });

  it('continues without a node that has ended but is still listed as leaving', () => {
    const { run, leave, shareOf } = createCluster(ids, createMove());
    leave(others[0] ?? '');
    run(5000, goodTraffic);
    expect(shareOf(others[1] ?? '')).to.equal(0.05);
  });

  it('drops all shares at once when an operator takes the move back', () => {
    const { run, shareOf, configure } = createCluster(ids, createMove());
    run(10_000, goodTraffic);
    configure({ m: createMove({ state: 'taken-back' }) });
    expect(ids.map(shareOf)).to.deep.equal([0, 0, 0]);
  });

  it('stays at the first share without evidence and is taken back at its deadline', () => {
    const { run, shareOf, actions } = createCluster(ids, createMove());
    run(50_000);
    expect(others.map(shareOf)).to.deep.equal([0.05, 0.05]);
    run(11_000);
    expect(ids.map(shareOf)).to.deep.equal([0, 0, 0]);
    const commits = actions.filter(({ kind }) => kind === 'commit');
    expect(JSON.stringify(commits[0])).to.match(/not done by its deadline/);
  });
});

describe('version pacer', () => {
  it('never sends more requests to the new version than its share of those so far', () => {
    const random = Random.create(3);
    let pacer = VersionPacer.create();
    let sent = 0;
    for (let request = 1; request <= 10_000; request += 1) {
      const choice = VersionPacer.choose(pacer, 0.05, random);
      pacer = choice.pacer;
      sent += choice.useNew ? 1 : 0;
      expect(sent).to.be.at.most(request * 0.05);
    }
    expect(sent).to.be.at.least(498);
  });
});
