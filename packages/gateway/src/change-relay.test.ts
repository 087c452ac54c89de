import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { ChangeRelay } from './change-relay.js';
import { DivergenceCheck } from './divergence-check.js';
import { Log } from './log.js';
import type { ChangeSet, NodeMessage, StoreAccess } from './node-message.js';
import type { StoreMirror } from './store-mirror.js';

interface Fixture {
  readonly clock: VirtualClock;
  readonly relay: ChangeRelay;
  readonly divergence: DivergenceCheck;
  readonly sent: readonly (readonly [string, NodeMessage])[];
  readonly calls: readonly string[];
  readonly setRevision: (revision: number) => void;
  readonly setAccess: (access: StoreAccess) => void;
}

/** A relay of a node that knows revision 8 and forgets changes before 5. */
const createFixture = (): Fixture => {
  const clock = VirtualClock.create();
  const sent: [string, NodeMessage][] = [];
  const calls: string[] = [];
  let revision = 8;
  let access: StoreAccess = 'fed';
  const mirror: StoreMirror = {
    isComplete: () => true,
    revision: () => revision,
    digest: () => 7,
    changesAfter: (after) => (after < 5 ? undefined : { items: [], after, revision }),
    mergeFromNode: (changes) => {
      const hasGap = changes.after > revision;
      revision = hasGap ? revision : changes.revision;
      return { isNew: true, hasGap };
    },
    catchUp: () => calls.push('catch up'),
    readAgain: () => calls.push('read again'),
    storeAccess: () => access,
    checkWatch: () => undefined,
    onOutageRuledOut: () => undefined,
    stop: () => undefined,
  };
  const relay = ChangeRelay.create(clock, () => 0.5, Log.createSilent(), {
    mirror: () => mirror,
    linkedNodes: () => ['n1', 'n2'],
    send: (nodes, message) => {
      for (const node of nodes) {
        sent.push([node, message]);
      }
    },
    isRelay: () => true,
  });
  return {
    clock,
    relay,
    divergence: DivergenceCheck.create(
      clock,
      () => 0.5,
      Log.createSilent(),
      () => mirror,
    ),
    sent,
    calls,
    setRevision: (next) => (revision = next),
    setAccess: (next) => (access = next),
  };
};

const changeSet = (after: number, revision: number): ChangeSet => ({
  items: [{ key: 'a', revision }],
  after,
  revision,
});

const pullsIn = ({ sent }: Fixture): readonly unknown[] =>
  sent.filter(([, { kind }]) => kind === 'pull');

describe('change relay', () => {
  it('forwards changes as they came, with the revision that they follow', () => {
    // Guards against a node behind the relay that takes the forwarded changes for all there are.
    const fixture = createFixture();
    fixture.relay.receiveChanges('n1', changeSet(8, 9));
    const forwarded: NodeMessage = { kind: 'changes', ...changeSet(8, 9) };
    expect(fixture.sent).to.deep.equal([['n2', forwarded]]);
  });

  it('asks for the changes before those that it gets, once for several of them', () => {
    const fixture = createFixture();
    fixture.relay.receiveChanges('n1', changeSet(11, 12));
    fixture.relay.receiveChanges('n1', changeSet(12, 13));
    fixture.clock.advance(300);
    expect(pullsIn(fixture)).to.deep.equal([['n1', { kind: 'pull', after: 8 }]]);
  });

  it('reads the store itself if nobody sends what is missing', () => {
    // Guards against a node that stays behind because its relays don't answer, or are behind too.
    const fixture = createFixture();
    fixture.relay.pullIfBehind('n1', 12);
    fixture.clock.advance(900);
    expect(fixture.calls).to.deep.equal([]);
    fixture.clock.advance(300);
    expect(fixture.calls).to.deep.equal(['catch up']);
    fixture.setRevision(12);
    fixture.relay.pullIfBehind('n1', 13);
    fixture.setRevision(13);
    fixture.clock.advance(3000);
    expect(fixture.calls).to.have.lengthOf(1);
  });

  it('does not answer with a part of what is missing', () => {
    const fixture = createFixture();
    fixture.relay.answerPull('n1', 3);
    expect(fixture.sent).to.deep.equal([]);
    fixture.relay.answerPull('n1', 6);
    expect(fixture.sent).to.have.lengthOf(1);
  });
});

describe('divergence check', () => {
  const differing = { node: 'n1', revision: 8, digest: 6, watchesStore: true };

  it('has a node read the store again that holds other entries for long', () => {
    // Guards against a missed change that no revision tells of.
    const fixture = createFixture();
    for (let second = 0; second < 10; second += 1) {
      fixture.divergence.compare(differing);
      fixture.clock.advance(1000);
    }
    fixture.clock.advance(2000);
    expect(fixture.calls).to.deep.equal(['read again']);
    fixture.divergence.compare(differing);
    fixture.clock.advance(9000);
    fixture.divergence.compare(differing);
    fixture.clock.advance(2000);
    expect(fixture.calls).to.have.lengthOf(1);
  });

  it('takes no difference at other revisions, and none that has ended, for a fault', () => {
    const fixture = createFixture();
    for (let second = 0; second < 30; second += 1) {
      fixture.divergence.compare({ ...differing, revision: 9 });
      fixture.divergence.compare({ ...differing, digest: second % 5 === 0 ? 7 : 6 });
      fixture.clock.advance(1000);
    }
    expect(fixture.calls).to.deep.equal([]);
  });

  it('does not correct a node that reads the store by one that is fed by others', () => {
    const fixture = createFixture();
    fixture.setAccess('watching');
    for (let second = 0; second < 30; second += 1) {
      fixture.divergence.compare({ ...differing, watchesStore: false });
      fixture.clock.advance(1000);
    }
    expect(fixture.calls).to.deep.equal([]);
  });
});
