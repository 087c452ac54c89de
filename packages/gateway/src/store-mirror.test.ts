import { VirtualClock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import { expect } from 'chai';
import { Right } from 'purify-ts';
import { Log } from './log.js';
import type { MetadataStore, StoreEvent, WatchOutcome } from './metadata-store.js';
import type { RelayedChange } from './node-message.js';
import { observeStore } from './observed-store.js';
import { StoreMirror } from './store-mirror.js';
import { StoreOutages } from './store-outages.js';

interface Fixture {
  readonly mirror: StoreMirror;
  readonly outages: StoreOutages;
  readonly watches: readonly number[];
  /** Number of times that all entries were read. */
  readonly lists: () => number;
  readonly answerWatch: (outcome: WatchOutcome) => void;
  readonly changes: readonly string[];
  readonly relayed: readonly RelayedChange[];
  readonly setWatchesStore: (follows: boolean) => void;
  /** Advances the clock in steps and runs all due timers and pending promises. */
  readonly advance: (ms: number) => Promise<void>;
  /** Answers another call to the store, such as the renewal of a lease. */
  readonly answerOtherCall: (isAnswered: boolean) => void;
}

const stepMs = 10;
const reregistrationWindowMs = 2300;
/** Two heartbeats of 1.2 s. */
const minOutageMs = 2400;

const unavailable: WatchOutcome = {
  outcome: 'unavailable',
  failure: Failure.create('store-unavailable', 'no answer'),
};

const createFixture = (): Fixture => {
  const clock = VirtualClock.create();
  const watches: number[] = [];
  const changes: string[] = [];
  const relayed: RelayedChange[] = [];
  let watchesStore = true;
  let lists = 0;
  let answer: (outcome: WatchOutcome) => void = () => undefined;
  const unused = (): never => {
    throw new Error('not used');
  };
  const store: MetadataStore = {
    list: () => {
      lists += 1;
      const items = [{ key: 'a', value: Buffer.from('1'), revision: 5 }];
      return Promise.resolve(Right({ items, revision: 7 }));
    },
    watch: (_prefix, after, _waitMs, signal) => {
      watches.push(after);
      return new Promise((resolve) => {
        answer = resolve;
        signal?.addEventListener('abort', () => {
          resolve(unavailable);
        });
      });
    },
    commit: unused,
    grantLease: unused,
    renewLease: unused,
    revokeLease: unused,
    close: () => undefined,
  };
  const outages = StoreOutages.create(clock, Log.createSilent(), {
    minOutageMs,
    onRuledOut: () => {
      mirror.onOutageRuledOut();
    },
  });
  const observed = observeStore(store, clock, {
    onAnswered: outages.recordAnswer,
    onFailed: outages.recordFailure,
  });
  const mirror = StoreMirror.create(observed, clock, Log.createSilent(), {
    prefix: '',
    onChange: (key, value) => {
      changes.push(`${key}=${value === undefined ? 'removed' : value.toString()}`);
    },
    delaysRemovalAfterOutage: () => true,
    reregistrationWindowMs,
    outages,
    restoredEntryLapseMs: 6000,
    decideRestoredEntry: () => 'apply',
    onEntryLost: () => undefined,
    onStoreUnavailable: () => undefined,
    watchesStore: () => watchesStore,
    onStoreChanges: ({ items }) => {
      relayed.push(...items);
    },
  });
  const settle = (): Promise<void> =>
    new Promise((resolve) => {
      setImmediate(resolve);
    });
  return {
    mirror,
    outages,
    watches,
    lists: () => lists,
    answerWatch: (outcome) => {
      answer(outcome);
    },
    changes,
    relayed,
    setWatchesStore: (next) => {
      watchesStore = next;
    },
    advance: async (ms) => {
      await settle();
      for (let passed = 0; passed < ms; passed += stepMs) {
        clock.advance(stepMs);
        await settle();
      }
    },
    answerOtherCall: (isAnswered) => {
      if (isAnswered) {
        outages.recordAnswer(clock.monotonicMs());
      } else {
        outages.recordFailure();
        mirror.checkWatch();
      }
    },
  };
};

const eventsUpTo = (revision: number, events: readonly StoreEvent[]): WatchOutcome => ({
  outcome: 'events',
  revision,
  events,
});

/** A mirror that is fed by other nodes and knows all changes up to revision 8. */
const createFedFixture = async (): Promise<Fixture> => {
  const fixture = createFixture();
  await fixture.advance(stepMs);
  fixture.setWatchesStore(false);
  fixture.answerWatch(eventsUpTo(8, []));
  await fixture.advance(stepMs);
  return fixture;
};

describe('store mirror', () => {
  it('reports changes that its watch returns', async () => {
    const fixture = createFixture();
    await fixture.advance(stepMs);
    expect(fixture.mirror.storeAccess()).to.equal('watching');
    const event = { key: 'a', revision: 9, value: Buffer.from('2') };
    fixture.answerWatch(eventsUpTo(9, [event]));
    await fixture.advance(stepMs);
    expect(fixture.changes).to.deep.equal(['a=1', 'a=2']);
    expect(fixture.relayed).to.deep.equal([event]);
  });

  it('does not watch while other nodes do, and resumes after the changes that they sent', async () => {
    // Guards against the store's load with 87 nodes that each watch: 87 calls for each change.
    const fixture = createFixture();
    await fixture.advance(stepMs);
    fixture.setWatchesStore(false);
    fixture.answerWatch(eventsUpTo(8, []));
    await fixture.advance(1000);
    expect(fixture.watches).to.deep.equal([7]);
    expect(fixture.mirror.storeAccess()).to.equal('fed');
    const change = { key: 'a', revision: 12, value: Buffer.from('3') };
    const changes = { items: [change], after: 8, revision: 12 };
    expect(fixture.mirror.mergeFromNode(changes)).to.deep.equal({ isNew: true, hasGap: false });
    expect(fixture.mirror.mergeFromNode(changes)).to.deep.equal({ isNew: false, hasGap: false });
    fixture.setWatchesStore(true);
    await fixture.advance(200);
    expect(fixture.watches).to.deep.equal([7, 12]);
  });

  it('knows a revision only if it has all changes before it', async () => {
    // Guards against a node that stood still, gets the next change and never asks for those between.
    const fixture = await createFedFixture();
    const evacuated = { key: 'b', revision: 10, value: Buffer.from('1') };
    const later = { key: 'a', revision: 12, value: Buffer.from('3') };
    const gap = fixture.mirror.mergeFromNode({ items: [later], after: 11, revision: 12 });
    expect(gap).to.deep.equal({ isNew: true, hasGap: true });
    expect(fixture.mirror.revision()).to.equal(8);
    expect(fixture.changes).to.deep.equal(['a=1', 'a=3']);
    fixture.mirror.mergeFromNode({ items: [evacuated, later], after: 8, revision: 12 });
    expect(fixture.mirror.revision()).to.equal(12);
    expect(fixture.changes).to.deep.equal(['a=1', 'a=3', 'b=1']);
  });

  it('reads what it missed from the store if it is fed by others and told to', async () => {
    const fixture = await createFedFixture();
    fixture.mirror.catchUp();
    await fixture.advance(400);
    expect(fixture.watches).to.deep.equal([7, 8]);
    const event = { key: 'b', revision: 10, value: Buffer.from('1') };
    fixture.answerWatch(eventsUpTo(10, [event]));
    await fixture.advance(1000);
    expect(fixture.changes).to.deep.equal(['a=1', 'b=1']);
    expect(fixture.watches).to.deep.equal([7, 8]);
    expect(fixture.mirror.storeAccess()).to.equal('fed');
  });

  it('lists the store if what it missed is not in the history any more, or entries differ', async () => {
    const fixture = await createFedFixture();
    fixture.mirror.catchUp();
    await fixture.advance(400);
    fixture.answerWatch({ outcome: 'history-lost' });
    await fixture.advance(400);
    expect(fixture.lists()).to.equal(2);
    fixture.mirror.readAgain();
    await fixture.advance(400);
    expect(fixture.lists()).to.equal(3);
  });

  it('is complete only with the changes from the start', () => {
    // Guards against a node that starts without the store and takes one change for the whole state.
    const fixture = createFixture();
    const item = { key: 'a', revision: 12, value: Buffer.from('3') };
    fixture.mirror.mergeFromNode({ items: [item], after: 11, revision: 12 });
    expect(fixture.mirror.isComplete()).to.equal(false);
    fixture.mirror.mergeFromNode({ items: [item], after: 0, revision: 12 });
    expect(fixture.mirror.isComplete()).to.equal(true);
  });

  describe('with an entry that is missing', () => {
    const removal = { key: 'a', revision: 9 };
    const retryMs = 120;

    /** The store answers nothing for a time, and then a watch with the removal of the entry. */
    const lapseInOutage = async (fixture: Fixture, outageMs: number): Promise<void> => {
      fixture.answerWatch(unavailable);
      for (let passedMs = 0; passedMs < outageMs; passedMs += 100) {
        await fixture.advance(100);
        fixture.answerWatch(unavailable);
      }
      await fixture.advance(1000);
      fixture.answerWatch(eventsUpTo(9, [removal]));
      await fixture.advance(stepMs);
    };

    it('uses it no longer if its watch was only cut', async () => {
      // Guards against requests to an upstream that has left, as any failed watch was an outage.
      const fixture = createFixture();
      await fixture.advance(1000);
      for (let cut = 0; cut < 10; cut += 1) {
        fixture.answerWatch(unavailable);
        await fixture.advance(retryMs);
        fixture.answerWatch(eventsUpTo(8, []));
        await fixture.advance(400);
      }
      fixture.answerWatch(unavailable);
      await fixture.advance(retryMs);
      fixture.answerWatch(eventsUpTo(9, [removal]));
      await fixture.advance(stepMs);
      expect(fixture.changes).to.deep.equal(['a=1', 'a=removed']);
    });

    it('uses it no longer if the store has answered other calls while its watch was silent', async () => {
      // Guards against a connection that falls silent and is taken for an outage of the store.
      const fixture = createFixture();
      for (let second = 0; second < 5; second += 1) {
        fixture.answerOtherCall(true);
        await fixture.advance(1000);
      }
      fixture.answerWatch(unavailable);
      await fixture.advance(retryMs);
      fixture.answerWatch(eventsUpTo(9, [removal]));
      await fixture.advance(stepMs);
      expect(fixture.changes).to.deep.equal(['a=1', 'a=removed']);
    });

    it('keeps it after an outage until its owner had time to write it again', async () => {
      // Guards against upstreams that are taken for gone when their entries lapse in an outage.
      const fixture = createFixture();
      await fixture.advance(1000);
      await lapseInOutage(fixture, 3000);
      await fixture.advance(reregistrationWindowMs - 100);
      expect(fixture.changes).to.deep.equal(['a=1']);
      fixture.answerWatch(eventsUpTo(12, [{ key: 'a', revision: 12, value: Buffer.from('2') }]));
      await fixture.advance(reregistrationWindowMs);
      expect(fixture.changes).to.deep.equal(['a=1', 'a=2']);
    });

    it('counts the time to write it again from the first answer after an outage', async () => {
      // Guards against a hold that is counted from the call that noticed the outage.
      const fixture = createFixture();
      await fixture.advance(1000);
      fixture.answerWatch(unavailable);
      await fixture.advance(3000);
      fixture.answerOtherCall(true);
      await fixture.advance(2000);
      fixture.answerWatch(eventsUpTo(9, [removal]));
      await fixture.advance(200);
      expect(fixture.changes).to.deep.equal(['a=1']);
      await fixture.advance(reregistrationWindowMs - 2200);
      expect(fixture.changes).to.deep.equal(['a=1', 'a=removed']);
    });

    it('uses it no longer once another node shows that the store had no outage', async () => {
      // Guards against a node that was cut off, and sends requests to upstreams that left meanwhile.
      const fixture = createFixture();
      await fixture.advance(1000);
      await lapseInOutage(fixture, 3000);
      fixture.outages.receive('n2', 2500);
      expect(fixture.changes).to.deep.equal(['a=1']);
      fixture.outages.receive('n3', 60_000);
      expect(fixture.changes).to.deep.equal(['a=1', 'a=removed']);
    });

    it('keeps it for its time after a restore, whatever other nodes state', async () => {
      // Guards against entries that a restore has lost, and that others can't vouch for.
      const fixture = createFixture();
      await fixture.advance(1000);
      fixture.outages.recordRestore();
      fixture.outages.receive('n2', 60_000);
      fixture.answerWatch(eventsUpTo(9, [removal]));
      await fixture.advance(reregistrationWindowMs - 100);
      expect(fixture.changes).to.deep.equal(['a=1']);
    });

    it('asks again on another connection when another call has failed', async () => {
      // Guards against a silent connection that delays changes until the watch times out.
      const fixture = createFixture();
      await fixture.advance(1000);
      expect(fixture.watches).to.deep.equal([7]);
      fixture.answerOtherCall(false);
      await fixture.advance(stepMs);
      expect(fixture.watches).to.deep.equal([7, 7]);
      fixture.answerWatch(eventsUpTo(9, [removal]));
      await fixture.advance(stepMs);
      expect(fixture.changes).to.deep.equal(['a=1', 'a=removed']);
      expect(fixture.mirror.storeAccess()).to.equal('watching');
    });
  });
});
