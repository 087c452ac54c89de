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
  let answer: (outcome: WatchOutcome) => void = () => undefined;
  const unused = (): never => {
    throw new Error('not used');
  };
  const store: MetadataStore = {
    list: () =>
      Promise.resolve(
        Right({ items: [{ key: 'a', value: Buffer.from('1'), revision: 5 }], revision: 7 }),
      ),
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
    onStoreChanges: (items) => {
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
    expect(fixture.mirror.mergeFromNode([change], 12)).to.deep.equal([change]);
    expect(fixture.mirror.mergeFromNode([change], 12)).to.deep.equal([]);
    fixture.setWatchesStore(true);
    await fixture.advance(200);
    expect(fixture.watches).to.deep.equal([7, 12]);
  });
});
