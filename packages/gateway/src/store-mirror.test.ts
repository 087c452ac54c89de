import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { Right } from 'purify-ts';
import { Log } from './log.js';
import type { MetadataStore, StoreEvent, WatchOutcome } from './metadata-store.js';
import type { RelayedChange } from './node-message.js';
import { StoreMirror } from './store-mirror.js';

interface Fixture {
  readonly mirror: StoreMirror;
  readonly watches: readonly number[];
  /** Number of times that all entries were read. */
  readonly lists: () => number;
  readonly answerWatch: (outcome: WatchOutcome) => void;
  readonly changes: readonly string[];
  readonly relayed: readonly RelayedChange[];
  readonly setWatchesStore: (follows: boolean) => void;
  /** Advances the clock in steps and runs all due timers and pending promises. */
  readonly advance: (ms: number) => Promise<void>;
}

const stepMs = 10;

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
    watch: (_prefix, after) => {
      watches.push(after);
      return new Promise((resolve) => {
        answer = resolve;
      });
    },
    commit: unused,
    grantLease: unused,
    renewLease: unused,
    revokeLease: unused,
    close: () => undefined,
  };
  const mirror = StoreMirror.create(store, clock, Log.createSilent(), {
    prefix: '',
    onChange: (key, value) => {
      changes.push(`${key}=${value === undefined ? 'removed' : value.toString()}`);
    },
    delaysRemovalAfterOutage: () => false,
    reregistrationWindowMs: 2300,
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
});
