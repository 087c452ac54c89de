import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { Right } from 'purify-ts';
import { Log } from './log.js';
import type { MetadataStore, StoreEvent, WatchOutcome } from './metadata-store.js';
import type { RelayedItem } from './node-message.js';
import { StoreMirror } from './store-mirror.js';

interface Scene {
  readonly mirror: StoreMirror;
  readonly watches: readonly number[];
  readonly answerWatch: (outcome: WatchOutcome) => void;
  readonly changes: readonly string[];
  readonly pushed: readonly RelayedItem[];
  readonly follow: (follows: boolean) => void;
  /** Lets time pass and everything that is due happen. */
  readonly pass: (ms: number) => Promise<void>;
}

const stepMs = 10;

const createScene = (): Scene => {
  const clock = VirtualClock.create();
  const watches: number[] = [];
  const changes: string[] = [];
  const pushed: RelayedItem[] = [];
  let follows = true;
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
    endLease: unused,
    close: () => undefined,
  };
  const mirror = StoreMirror.create(store, clock, Log.createSilent(), {
    prefix: '',
    onChange: (key, value) => {
      changes.push(`${key}=${value === undefined ? 'removed' : value.toString()}`);
    },
    returnsAfterOutage: () => false,
    registrationReturnMs: 2300,
    whileLost: () => undefined,
    followsStore: () => follows,
    onNew: (items) => {
      pushed.push(...items);
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
    pushed,
    follow: (next) => {
      follows = next;
    },
    pass: async (ms) => {
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
  it('passes on what its watch brings', async () => {
    const scene = createScene();
    await scene.pass(stepMs);
    expect(scene.mirror.access()).to.equal('watching');
    const event = { key: 'a', revision: 9, value: Buffer.from('2') };
    scene.answerWatch(eventsUpTo(9, [event]));
    await scene.pass(stepMs);
    expect(scene.changes).to.deep.equal(['a=1', 'a=2']);
    expect(scene.pushed).to.deep.equal([event]);
  });

  it('leaves the store alone while other nodes follow it, and goes on from what they told', async () => {
    // Load pattern: 87 nodes with a watch each cost 87 calls for each change.
    const scene = createScene();
    await scene.pass(stepMs);
    scene.follow(false);
    scene.answerWatch(eventsUpTo(8, []));
    await scene.pass(1000);
    expect(scene.watches).to.deep.equal([7]);
    expect(scene.mirror.access()).to.equal('fed');
    const told = { key: 'a', revision: 12, value: Buffer.from('3') };
    expect(scene.mirror.takeOver([told], 12)).to.deep.equal([told]);
    expect(scene.mirror.takeOver([told], 12)).to.deep.equal([]);
    scene.follow(true);
    await scene.pass(200);
    expect(scene.watches).to.deep.equal([7, 12]);
  });
});
