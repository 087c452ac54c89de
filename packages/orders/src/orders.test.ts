import { type Clock, Random, VirtualClock } from '@zinniagrade/clock';
import { FakeStore } from '@zinniagrade/platform';
import { expect } from 'chai';
import { Right } from 'purify-ts';
import { issueOrder, type OrderStore, sleep, type OrderSender } from './issue-order.js';
import type { Order } from './order.js';
import { OrderLease, orderLeaseMs, orderLeaseMarginMs } from './order-lease.js';
import { permitCount } from './weight-permit.js';
import { withWeightPermit } from './with-weight-permit.js';

const loadOrder: Order = { order: 'load', model: 'm', version: 'v2' };

const setUp = (seed = 1) => {
  const clock = VirtualClock.create();
  const store = FakeStore.create(clock, Random.create(seed));
  const run = async <T>(work: Promise<T>): Promise<T> => {
    const state = { ended: false };
    void work.then(() => (state.ended = true));
    while (!state.ended) {
      await new Promise(setImmediate);
      clock.advance(10);
    }
    return work;
  };
  return { clock, store, run };
};

interface ReceivedOrder {
  readonly holder: string;
  readonly token: number;
  readonly receivedAt: number;
}

/** An engine that records the orders it accepts; optionally refuses old tokens. */
const createEngine = (clock: Clock, refusesOldTokens: boolean) => {
  const received: ReceivedOrder[] = [];
  const sendAs =
    (holder: string): OrderSender =>
    (_, token) => {
      const highest = Math.max(0, ...received.map((order) => order.token));
      if (refusesOldTokens && token < highest) {
        return Promise.resolve('refused-old-token');
      }
      received.push({ holder, token, receivedAt: clock.monotonicMs() });
      return Promise.resolve('done');
    };
  return { received, sendAs };
};

/**
 * Store and clock of a process that can be frozen: while frozen, no awaited call or timer
 * completes.
 */
const createFreezableProcess = (clock: Clock, inner: OrderStore) => {
  let frozenUntil = 0;
  const waitUntilAwake = (): Promise<void> =>
    new Promise((resolve) => {
      clock.after(Math.max(0, frozenUntil - clock.monotonicMs()), resolve);
    });
  const whenAwake = async <T>(work: Promise<T>): Promise<T> => {
    const result = await work;
    await waitUntilAwake();
    return result;
  };
  const store: OrderStore = {
    get: (key) => whenAwake(inner.get(key)),
    put: (key, value, ifRevision, lease) => whenAwake(inner.put(key, value, ifRevision, lease)),
    grantLease: (ttlMs) => whenAwake(inner.grantLease(ttlMs)),
    renewLease: (id) => whenAwake(inner.renewLease(id)),
    revokeLease: (id) => whenAwake(inner.revokeLease(id)),
  };
  const processClock: Pick<Clock, 'monotonicMs' | 'after'> = {
    monotonicMs: clock.monotonicMs,
    after: (ms, run) => clock.after(ms, () => void waitUntilAwake().then(run)),
  };
  return {
    store,
    clock: processClock,
    freeze: (ms: number) => {
      frozenUntil = clock.monotonicMs() + ms;
    },
  };
};

describe('order lease', () => {
  const granted = OrderLease.applyEvent(OrderLease.create('a', 'e', false), {
    kind: 'lease-granted',
    id: 'l',
    requestedAt: 100,
  });

  it('counts from before the request was sent, and allows no order in its last 2 s', () => {
    const held = OrderLease.applyEvent(granted, { kind: 'key-taken', revision: 7 });
    expect(OrderLease.mayIssue(held, 100 + orderLeaseMs - orderLeaseMarginMs - 1)).to.equal(true);
    expect(OrderLease.mayIssue(held, 100 + orderLeaseMs - orderLeaseMarginMs)).to.equal(false);
  });

  it('waits for the lease of another holder to expire only if the engine ignores tokens', () => {
    const key = { holder: 'b', leaseId: 'other', revision: 9 };
    const observed = OrderLease.applyEvent(granted, { kind: 'key-read', key });
    expect(OrderLease.nextAction(observed, 200).kind).to.equal('wait');
    const withTokenCheck = { ...observed, refusesOldTokens: true };
    expect(OrderLease.nextAction(withTokenCheck, 200)).to.deep.include({
      kind: 'take-key',
      ifRevision: 9,
    });
  });
});

describe('issuing an order', () => {
  it('resolves a lost reply by reading the key back', async () => {
    const { clock, run, store } = setUp();
    const engine = createEngine(clock, false);
    store.faults.lostReplyShare = 1;
    const given = await run(
      issueOrder(OrderLease.create('a', 'e', false), loadOrder, {
        store: store.client(),
        send: engine.sendAs('a'),
        clock,
        timeoutMs: 30_000,
      }),
    );
    expect(given.isRight()).to.equal(true);
    expect(engine.received).to.have.length(1);
  });

  it('raises the token at each takeover, and the engine refuses the previous holder', async () => {
    const { clock, run, store } = setUp();
    const engine = createEngine(clock, true);
    const give = (holder: string, state = OrderLease.create(holder, 'e', true)) =>
      issueOrder(state, loadOrder, {
        store: store.client(),
        send: engine.sendAs(holder),
        clock,
        timeoutMs: 30_000,
      });
    const first = (await run(give('a'))).unsafeCoerce();
    const second = (await run(give('b'))).unsafeCoerce();
    expect(second.token).to.be.above(first.token);
    const third = (await run(give('a', first.state))).unsafeCoerce();
    expect(third.token).to.be.above(second.token);
    expect(engine.received.map(({ holder }) => holder)).to.deep.equal(['a', 'b', 'a']);
  });

  it('fails with store-unavailable while the store is down', async () => {
    const { clock, run, store } = setUp();
    store.faults.outage = true;
    const given = await run(
      issueOrder(OrderLease.create('a', 'e', false), loadOrder, {
        store: store.client(),
        send: createEngine(clock, false).sendAs('a'),
        clock,
        timeoutMs: 5000,
      }),
    );
    expect(given.swap().toMaybe().extract()?.kind).to.equal('store-unavailable');
  });

  for (let seed = 1; seed <= 30; seed += 1) {
    it(`does not interleave orders of frozen and racing holders at an engine that ignores tokens, seed ${seed}`, async () => {
      const { clock, run, store } = setUp(seed);
      const random = Random.create(seed);
      const engine = createEngine(clock, false);
      store.faults.lostReplyShare = 0.2;
      const work = ['a', 'b', 'c'].map(async (holder) => {
        const freezable = createFreezableProcess(clock, store.client(holder));
        let state = OrderLease.create(holder, 'e', false);
        for (let orders = 0; orders < 6; orders += 1) {
          if (random() < 0.4) {
            freezable.freeze(15_000 * random());
          }
          store.faults.outage = random() < 0.1;
          await sleep(freezable.clock, 8000 * random());
          const given = await issueOrder(state, loadOrder, {
            store: freezable.store,
            send: engine.sendAs(holder),
            clock: freezable.clock,
            timeoutMs: 60_000,
          });
          state = given.map((order) => order.state).orDefault(state);
        }
      });
      await run(Promise.all(work));
      expect(new Set(engine.received.map(({ holder }) => holder)).size).to.be.above(1);
      for (const [index, order] of engine.received.slice(1).entries()) {
        expect(order.token).to.be.at.least(engine.received[index]?.token ?? 0);
      }
    });
  }
});

describe('weight permits', () => {
  it('limit the number of concurrent loads', async () => {
    const { clock, run, store } = setUp();
    let loading = 0;
    let mostAtOnce = 0;
    const work = Array.from({ length: 5 }, (_, index) =>
      withWeightPermit(
        'm',
        'v2',
        () => {
          loading += 1;
          mostAtOnce = Math.max(mostAtOnce, loading);
          clock.after(8000, () => (loading -= 1));
          return Promise.resolve(index);
        },
        {
          holder: `node-${index}`,
          store: store.client(),
          weights: {
            reserve: () => Promise.resolve(Right({ startInMs: 100, durationMs: 8000 })),
          },
          clock,
          random: Random.create(index),
          permits: 2,
          timeoutMs: 120_000,
        },
      ),
    );
    const results = await run(Promise.all(work));
    expect(results.map((result) => result.orDefault(-1))).to.deep.equal([0, 1, 2, 3, 4]);
    expect(mostAtOnce).to.equal(2);
  });

  it('are as many as the loads that may start during one load at the rate of the weight store', () => {
    expect(permitCount(0.5, 10_000)).to.equal(5);
    expect(permitCount(0.01, 10_000)).to.equal(1);
  });
});
