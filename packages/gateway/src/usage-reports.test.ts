import { setImmediate as runPending } from 'node:timers/promises';
import { VirtualClock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { UsageReport } from '@zinniagrade/duties';
import { expect } from 'chai';
import { Right } from 'purify-ts';
import { ClusterState, type ClusterChange } from './cluster-state.js';
import { usageSubject } from './duty-acts.js';
import type { DutyClient, DutyHolder, DutyOutcome } from './duty-holder.js';
import { Log } from './log.js';
import type { CommitOutcome, MetadataStore, StoredItem, Transaction } from './metadata-store.js';
import { UsageReports } from './usage-reports.js';

const windowMs = 1000;
const lateMs = 4000;
const reportKey = 'report';
const reportOf = (window: number, count: number): UsageReport => ({
  window,
  counts: new Map([['shop', count]]),
});
const encode = ({ window, counts }: UsageReport): Buffer =>
  Buffer.from(JSON.stringify([window, [...counts]]));
const decode = (_key: string, value: Buffer): ClusterChange => {
  const [window, counts] = JSON.parse(value.toString()) as [number, [string, number][]];
  return { kind: 'usage-report', report: { window, counts: new Map(counts) } };
};
const notDone = Failure.create('store-unavailable', 'test');

/** A holder of the subject with fakes of the store, the platform and the counts. */
const createHolder = (options: {
  readonly isCountedByAll?: boolean;
  readonly lastRecordedWindow?: number;
  /** Outcomes of the first writes; later ones are done. */
  readonly writes?: readonly CommitOutcome['outcome'][];
  readonly sends?: readonly DutyOutcome[];
  /** What the store has, when it is read back. */
  readonly stored?: UsageReport;
}) => {
  const clock = VirtualClock.create(0);
  const log = Log.createSilent();
  const cluster = ClusterState.create(log);
  const transactions: Transaction[] = [];
  const sent: UsageReport[] = [];
  let count = 0;
  let listener: (subject: string) => void = () => undefined;
  const commit = (transaction: Transaction): Promise<CommitOutcome> => {
    transactions.push(transaction);
    const outcome = options.writes?.[transactions.length - 1] ?? 'done';
    const result: CommitOutcome =
      outcome === 'done'
        ? { outcome, revision: 100 + transactions.length }
        : outcome === 'not-done' || outcome === 'unknown'
          ? { outcome, failure: notDone }
          : { outcome };
    return Promise.resolve(result);
  };
  const list: MetadataStore['list'] = () => {
    const items: StoredItem[] =
      options.stored === undefined
        ? []
        : [{ key: reportKey, value: encode(options.stored), revision: 50 }];
    return Promise.resolve(Right({ items, revision: 60 }));
  };
  const client: Partial<DutyClient> = {
    reportUsage: (_grant, window, counts) => {
      sent.push({ window, counts });
      return Promise.resolve(options.sends?.[sent.length - 1] ?? 'done');
    },
  };
  const holder: Partial<DutyHolder> = {
    grantOf: () => ({ token: 9, mayAct: () => true }),
    onChange: (added) => (listener = added),
  };
  UsageReports.create(
    { commit, list } as unknown as MetadataStore,
    clock,
    log,
    cluster,
    holder as DutyHolder,
    {
      windowMs,
      lateMs,
      client: client as DutyClient,
      counts: {
        nowMs: clock.wallMs,
        // Grows with each look, as rows of other nodes may still come.
        totals: () => new Map([['shop', (count += 1)]]),
        firstWindow: () => 0,
        lastRecordedWindow: () => options.lastRecordedWindow,
        onRecorded: () => undefined,
      },
      holderKey: 'holder',
      reportKey,
      encode,
      decode,
      isCountedByAll: () => options.isCountedByAll ?? true,
    },
  );
  const run = async (ms: number): Promise<void> => {
    for (let passed = 0; passed < ms; passed += 50) {
      clock.advance(50);
      await runPending();
    }
  };
  return {
    transactions,
    sent,
    run: async (ms: number): Promise<void> => {
      listener(usageSubject);
      await run(ms);
    },
  };
};

describe('reports of usage', () => {
  it('are written under the key of their holder before they are sent', async () => {
    // Guards against a report that a later holder doesn't know of.
    const { transactions, sent, run } = createHolder({});
    await run(2500);
    expect([...(transactions[0]?.expected ?? [])]).to.deep.equal([
      ['holder', 9],
      [reportKey, 0],
    ]);
    const [written] = transactions[0]?.writes ?? [];
    expect(written?.value).to.deep.equal(encode(sent[0] ?? reportOf(-1, 0)));
  });

  it('keep their counts while the reply of their write is lost', async () => {
    // Guards against a write that takes effect late, after one with other counts was sent.
    const { transactions, sent, run } = createHolder({ writes: ['unknown', 'unknown', 'done'] });
    await run(4600);
    const values = transactions.slice(0, 3).map(({ writes }) => writes[0]?.value.toString());
    expect(new Set(values).size).to.equal(1);
    expect(sent[0]?.counts.get('shop')).to.equal(1);
  });

  it('are what another holder has recorded for the window', async () => {
    // Guards against a holder that sends its own counts after its write met another one.
    const stored = reportOf(0, 70);
    const { sent, run } = createHolder({ writes: ['conflict'], stored });
    await run(3000);
    expect(sent[0]).to.deep.equal(stored);
  });

  it('are not sent while the store takes no writes', async () => {
    // Guards against a report that is sent without a record.
    const { sent, run } = createHolder({ writes: Array<'not-done'>(20).fill('not-done') });
    await run(5000);
    expect(sent).to.deep.equal([]);
  });

  it('are sent again, unchanged, until the platform has confirmed them', async () => {
    // Guards against windows that are missing after a call was lost.
    const { sent, run } = createHolder({ sends: ['unknown', 'refused', 'done'] });
    await run(4500);
    expect(sent.slice(0, 3)).to.deep.equal([sent[0], sent[0], sent[0]]);
    expect(sent[3]?.window).to.equal((sent[0]?.window ?? 0) + 1);
  });

  it('leave out windows that were recorded before the store was restored', async () => {
    // Guards against other counts for a window that the store has forgotten.
    const { sent, run } = createHolder({ lastRecordedWindow: 3 });
    await run(7000);
    expect(sent[0]?.window).to.equal(4);
  });

  it('are not made while a live node does not count', async () => {
    // Guards against counts without the requests of a node of an earlier version.
    const { transactions, sent, run } = createHolder({ isCountedByAll: false });
    await run(5000);
    expect([transactions.length, sent.length]).to.deep.equal([0, 0]);
  });
});
