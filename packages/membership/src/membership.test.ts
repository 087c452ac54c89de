import { Random } from '@zinniagrade/clock';
import type { Heartbeat, Member } from '@zinniagrade/types';
import { expect } from 'chai';
import { chooseByRendezvous } from './hash.js';
import { isIsolated } from './isolation.js';
import { MembershipState, allMembers, compareMembers, putMembers } from './membership-state.js';
import type { MembershipAction, MembershipEvent } from './membership-step.js';
import { stepMembership } from './membership.js';
import { neighboursOf } from './overlay.js';

const memberOf = (nodeId: string, change: Partial<Member> = {}): Member => ({
  nodeId,
  incarnation: 1,
  processIncarnation: 1,
  host: nodeId,
  callerPort: 1,
  linkPort: 2,
  dataCentre: 'a',
  region: 'r',
  status: 'alive',
  ...change,
});

const fleet = (count: number, regions = 1): readonly Member[] =>
  Array.from({ length: count }, (_, index) =>
    memberOf(`n${index}`, { region: `r${index % regions}` }),
  );

const stateOf = (members: readonly Member[], at = 0): MembershipState => ({
  ...putMembers(MembershipState.create(members[0] ?? memberOf('n0'), at), members.slice(1), at),
  joined: true,
});

const random = Random.create(1);

/** Applies the given events, with a tick every 100 ms, up to a time. */
const tickUntil = (
  from: MembershipState,
  fromMs: number,
  untilMs: number,
  eventsAt: (now: number) => readonly MembershipEvent[] = () => [],
) => {
  let state = from;
  const messages: unknown[] = [];
  for (let now = fromMs; now <= untilMs; now += 100) {
    for (const event of [...eventsAt(now), { kind: 'tick', confirmedAt: undefined } as const]) {
      const step = stepMembership(state, event, now, random);
      state = step.state;
      messages.push(...step.actions.filter(({ kind }) => kind !== 'heartbeat'));
    }
  }
  return { state, messages };
};

const heartbeatFrom = (from: string, extra: Partial<Heartbeat> = {}): MembershipEvent => ({
  kind: 'heartbeat',
  from,
  transitMs: 0,
  message: {
    kind: 'heartbeat',
    incarnation: 1,
    revision: 0,
    confirmationAgeMs: 0,
    membersHash: '',
    ...extra,
  },
});

const statusOf = (state: MembershipState, id: string) => state.members[id]?.member.status;

describe('overlay', () => {
  it('connects every member, also within its region, over about 8 links', () => {
    const members = fleet(200, 3);
    const neighbours = new Map(
      members.map((member) => [member.nodeId, neighboursOf(member, members)]),
    );
    const reach = (from: string, keep: (id: string) => boolean): number => {
      const reached = new Set([from]);
      for (const id of reached) {
        for (const next of neighbours.get(id) ?? []) {
          if (keep(next)) {
            reached.add(next);
          }
        }
      }
      return reached.size;
    };
    expect(reach('n0', () => true)).to.equal(200);
    expect(reach('n0', (id) => Number(id.slice(1)) % 3 === 0)).to.equal(67);
    expect(Math.max(...[...neighbours.values()].map(({ length }) => length))).to.be.at.most(8);
    for (const [id, others] of neighbours) {
      expect(others.every((other) => neighbours.get(other)?.includes(id))).to.equal(true);
    }
  });

  it('changes few rendezvous choices when a node is removed', () => {
    const ids = fleet(50).map(({ nodeId }) => nodeId);
    const keys = Array.from({ length: 200 }, (_, index) => `key${index}`);
    const moved = keys.filter(
      (key) =>
        chooseByRendezvous(key, ids)[0] !==
        chooseByRendezvous(
          key,
          ids.filter((id) => id !== 'n7'),
        )[0],
    );
    expect(moved.length).to.be.within(1, 15);
  });
});

describe('membership', () => {
  it('orders members by incarnation, then by status', () => {
    const gone = memberOf('a', { status: 'gone' });
    expect(compareMembers(gone, memberOf('a', { status: 'suspect' }))).to.be.above(0);
    expect(compareMembers(memberOf('a', { incarnation: 2 }), gone)).to.be.above(0);
  });

  it('suspects a silent neighbour after 1.5 s and declares it gone after another 1.5 s', () => {
    const others = ['n1', 'n3'];
    const heard = (now: number) => (now % 500 === 0 ? others.map((id) => heartbeatFrom(id)) : []);
    const start = stateOf(fleet(4));
    const suspected = tickUntil(start, 0, 1700, heard).state;
    expect(statusOf(suspected, 'n2')).to.equal('suspect');
    const later = tickUntil(suspected, 1800, 3400, heard).state;
    expect([statusOf(later, 'n2'), statusOf(later, 'n1')]).to.deep.equal(['gone', 'alive']);
    expect(later.neighbours).to.not.include('n2');
  });

  it('refutes a false status of itself with a higher incarnation and floods it', () => {
    const update = memberOf('n0', { status: 'gone', incarnation: 5 });
    const { state, actions } = stepMembership(
      stateOf(fleet(4)),
      { kind: 'update', from: 'n1', message: { kind: 'member-update', members: [update] } },
      0,
      random,
    );
    expect(state.self).to.include({ incarnation: 6, status: 'alive', processIncarnation: 1 });
    expect(actions.filter(({ kind }) => kind === 'send')).to.have.length(3);
  });

  it('ignores an old update about a member that has returned since', () => {
    const returned = memberOf('n1', { incarnation: 9 });
    const before = putMembers(stateOf(fleet(3)), [returned], 0);
    const update = memberOf('n1', { status: 'gone', incarnation: 8 });
    const { state } = stepMembership(
      before,
      { kind: 'update', from: 'n2', message: { kind: 'member-update', members: [update] } },
      0,
      random,
    );
    expect(state.members.n1?.member).to.deep.equal(returned);
  });

  it('detects a freeze by the gap between events, suspects nobody and rejoins', () => {
    const { state, actions } = stepMembership(
      stateOf(fleet(4)),
      { kind: 'tick', confirmedAt: undefined },
      5000,
      random,
    );
    expect(actions[0]).to.deep.equal({ kind: 'frozen', gapMs: 5000 });
    expect(state.self.incarnation).to.equal(2);
    expect(allMembers(state).every(({ status }) => status === 'alive')).to.equal(true);
  });

  it('reconciles two member tables by exchanging the buckets that differ', () => {
    let a = stateOf(fleet(40));
    let b = stateOf([memberOf('n1'), memberOf('n0')]);
    const ask = (state: MembershipState, from: string) =>
      stepMembership(state, { kind: 'link-up', from }, 0, random).actions;
    let toA: readonly MembershipAction[] = ask(b, 'n0');
    for (let round = 0; round < 3 && toA.length > 0; round += 1) {
      const toB: MembershipAction[] = [];
      for (const action of toA) {
        if (action.kind === 'send' && action.to === 'n0') {
          const step = stepMembership(
            a,
            { kind: 'update', from: 'n1', message: action.message },
            0,
            random,
          );
          a = step.state;
          toB.push(...step.actions);
        }
      }
      const next: MembershipAction[] = [];
      for (const action of toB) {
        if (action.kind === 'send' && action.to === 'n1') {
          const step = stepMembership(
            b,
            { kind: 'update', from: 'n0', message: action.message },
            0,
            random,
          );
          b = step.state;
          next.push(...step.actions);
        }
      }
      toA = next;
    }
    expect(b.buckets).to.deep.equal(a.buckets);
    expect(allMembers(b)).to.have.length(40);
  });
});

describe('isolation', () => {
  const heard = (state: MembershipState, ids: readonly string[], at: number): MembershipState => ({
    ...state,
    regionHeardAt: new Map(ids.map((id) => [id, at])),
  });
  const withQuorumMembers = {
    ...stateOf(fleet(5)),
    quorumMembers: fleet(5).map(({ nodeId }) => nodeId),
  };

  it('applies without a fresh confirmation when at most half of the region is heard from', () => {
    expect(isIsolated(heard(withQuorumMembers, ['n1'], 9000), 10_000, 7000)).to.equal(true);
    expect(isIsolated(heard(withQuorumMembers, ['n1', 'n2'], 9000), 10_000, 7000)).to.equal(false);
    expect(isIsolated(heard(withQuorumMembers, ['n1', 'n2'], 7000), 10_000, 7000)).to.equal(true);
    expect(isIsolated(withQuorumMembers, 10_000, 8500)).to.equal(false);
  });

  it('lasts after a node that is cut off has declared all others gone', () => {
    const start = stateOf(fleet(5));
    const confirmed = stepMembership(start, { kind: 'tick', confirmedAt: 0 }, 0, random).state;
    const { state } = tickUntil(confirmed, 100, 120_000);
    expect(allMembers(state).filter(({ status }) => status === 'gone')).to.have.length(4);
    expect(isIsolated(state, 120_000, 0)).to.equal(true);
  });
});
