import { expect } from 'chai';
import { ClockOffset } from './clock-offset.js';
import { nextUsageReportStep, type UsageReportSituation } from './usage-report.js';
import { UsageWindows } from './usage-windows.js';

describe('counts of a window', () => {
  it('replace the earlier ones of the same process', () => {
    // Guards against requests that count twice when a row is repeated or comes out of order.
    const windows = UsageWindows.create('n1', 1);
    windows.add('shop', 7);
    const row = (incarnation: number, count: number): boolean =>
      windows.merge({ node: 'n2', incarnation, window: 7, counts: new Map([['shop', count]]) });
    expect([row(1, 3), row(1, 5), row(1, 3), row(2, 2)]).to.deep.equal([true, true, false, true]);
    expect([...windows.totals(7)]).to.deep.equal([['shop', 8]]);
  });

  it('follow the clock of most nodes', () => {
    // Guards against windows that are shifted by a VM whose clock is off by seconds.
    const clock = ClockOffset.create();
    for (const [node, differenceMs] of [
      ['a', 2000],
      ['b', 2010],
      ['c', 1990],
      ['d', -60_000],
    ] as const) {
      clock.record(node, differenceMs);
    }
    expect(clock.offsetMs()).to.equal(1990);
    // Rows that waited while this process was suspended.
    for (const node of ['a', 'b', 'c']) {
      clock.record(node, -3000);
    }
    expect(clock.offsetMs()).to.equal(1990);
  });
});

describe('the next usage report', () => {
  const settings = { windowMs: 5000, lateMs: 10_000 };
  const report = (window: number) => ({ window, counts: new Map([['shop', 4]]) });
  const step = (situation: Partial<UsageReportSituation>) =>
    nextUsageReportStep(settings, {
      nowMs: 0,
      recorded: undefined,
      lastRecordedWindow: undefined,
      confirmedWindow: undefined,
      firstWindow: 0,
      ...situation,
    });

  it('repeats what is recorded, until it is confirmed or too late', () => {
    // Guards against a new holder that reports other counts for a window, or none.
    const recorded = report(10);
    expect(step({ nowMs: 60_000, recorded }).kind).to.equal('send');
    expect(step({ nowMs: 63_000, recorded, confirmedWindow: 10 })).to.deep.equal({
      kind: 'record',
      window: 11,
    });
    expect(step({ nowMs: 66_000, recorded })).to.deep.equal({ kind: 'record', window: 11 });
  });

  it('waits for the rows of other nodes', () => {
    // Guards against reports without the last requests of a window.
    expect(step({ nowMs: 61_000, recorded: report(10), confirmedWindow: 10 })).to.deep.equal({
      kind: 'wait',
      untilMs: 62_500,
    });
  });

  it('never records a window again that a restored store has forgotten', () => {
    // Guards against two reports for one window with different counts.
    const situation = { nowMs: 63_000, recorded: report(9), lastRecordedWindow: 11 };
    expect(step(situation)).to.deep.equal({ kind: 'wait', untilMs: 67_500 });
  });

  it('leaves out windows that are too late', () => {
    // Guards against reports that arrive after the time allowed for them.
    expect(step({ nowMs: 100_000, recorded: report(3) })).to.deep.equal({
      kind: 'record',
      window: 18,
    });
  });
});
