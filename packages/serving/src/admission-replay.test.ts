import { expect } from 'chai';
import { arrivalsOf, long, short, type Arrival } from './admission-replay-load.js';
import { replay, servedShare, type Outcome } from './admission-replay.js';

const isShort = ({ kind }: Arrival): boolean => kind === short;
const isLong = ({ kind }: Arrival): boolean => kind === long;
const noAccounts = { sharesAccounts: false };

describe('admission at many nodes', () => {
  const arrivals = [...arrivalsOf(long, 40, 1), ...arrivalsOf(short, 19, 2)].sort(
    (a, b) => a.atMs - b.atMs,
  );

  let alone: Outcome;
  let together: Outcome;
  let early: Outcome;

  before(function () {
    // Three replays of 70 nodes at 33 engines.
    this.timeout(120_000);
    alone = replay(arrivals, { shares: false, refusesEarly: false, ...noAccounts });
    together = replay(arrivals, { shares: true, refusesEarly: false, ...noAccounts });
    early = replay(arrivals, { shares: true, refusesEarly: true, ...noAccounts });
  });

  it('serves urgent generations at all nodes in a burst of long ones at twice the rate', () => {
    // Guards against urgent requests without room because long ones of other nodes, which know of them
    // 0.25 s later, fill the engines, and against engines that are left idle for them.
    expect(servedShare(arrivals, alone, isShort)).to.be.lessThan(0.8);
    expect(servedShare(arrivals, together, isShort)).to.be.greaterThan(0.95);
    expect(servedShare(arrivals, together, isLong)).to.be.greaterThan(0.75);
    expect(together.used).to.be.greaterThan(alone.used - 0.02);
    expect(together.overflow).to.be.lessThan(alone.overflow / 2);
  });

  it('refuses at once what would wait in vain, with times at which callers find room', () => {
    // Guards against callers that are held until it is too late, and against times to return that
    // each node assigns as if it were alone: callers come back once, and were refused again.
    expect(early.heldMs).to.be.lessThan(together.heldMs / 3);
    expect(early.refusedTwice).to.be.lessThan(together.refusedTwice / 2);
    expect(servedShare(arrivals, early, isLong)).to.be.greaterThan(
      servedShare(arrivals, together, isLong) + 0.05,
    );
    expect(servedShare(arrivals, early, isShort)).to.be.greaterThan(0.95);
    expect(early.overflow).to.be.lessThan(alone.overflow / 2);
  });

  it('serves the accounts of a loud one in their share at all nodes', function () {
    // Guards against an account that sends twenty times what others send and gets room at nodes at which
    // nobody else waits, so that others are served as rarely as it.
    this.timeout(60_000);
    const quiet = ['a', 'b', 'c', 'd'].flatMap((account, index) => [
      ...arrivalsOf(long, 2.9, 10 + index, account),
    ]);
    const mixed = [...arrivalsOf(long, 58, 1, 'loud'), ...quiet].sort((a, b) => a.atMs - b.atMs);
    const isLoud = ({ account }: Arrival): boolean => account === 'loud';
    const isQuiet = (one: Arrival): boolean => !isLoud(one);
    const rules = { shares: true, refusesEarly: true };
    const apart = replay(mixed, { ...rules, sharesAccounts: false });
    const fair = replay(mixed, { ...rules, sharesAccounts: true });
    expect(servedShare(mixed, apart, isQuiet)).to.be.lessThan(0.8);
    expect(servedShare(mixed, fair, isQuiet)).to.be.greaterThan(0.95);
    expect(servedShare(mixed, fair, isLoud)).to.be.within(0.4, 0.9);
    expect(fair.used).to.be.greaterThan(apart.used - 0.02);
  });
});
