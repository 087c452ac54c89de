import { Random, VirtualClock } from '@zinniagrade/clock';
import { Fleet } from '@zinniagrade/serving';
import { expect } from 'chai';
import { Log } from './log.js';
import { ReachProbes } from './reach-probes.js';

/** What happens to new connections to an upstream. */
type Condition = 'open' | 'silent' | 'refused';

interface Probe {
  readonly upstream: string;
  readonly atMs: number;
}

interface ProbeFixture {
  readonly clock: VirtualClock;
  readonly fleet: Fleet;
  readonly probes: ReachProbes;
  readonly sent: readonly Probe[];
  /** Services that this node was cut off from, after each change. */
  readonly changes: readonly string[];
  readonly setCondition: (condition: Condition, upstreams?: readonly string[]) => void;
  /** Advances the clock in small steps, `each` before each of them. */
  readonly advance: (byMs: number, each?: () => void) => Promise<void>;
}

const dataCentres = ['a', 'b', 'c'];
const connectTimeoutMs = 300;
const stepMs = 5;

const createFixture = (counts: Readonly<Record<string, number>>): ProbeFixture => {
  const clock = VirtualClock.create();
  const fleet = Fleet.create();
  const conditions = new Map<string, Condition>();
  const sent: Probe[] = [];
  const changes: string[] = [];
  for (const [service, count] of Object.entries(counts)) {
    for (let index = 1; index <= count; index += 1) {
      const id = `${service}${String(index)}`;
      fleet.register(
        {
          id,
          service,
          address: `${id}:1`,
          dataCentre: dataCentres[index % dataCentres.length] ?? '',
          version: 'v1',
          slots: 8,
          state: 'ready',
          coldLeftMs: 0,
        },
        0,
      );
    }
  }
  const probes: ReachProbes = ReachProbes.create(
    clock,
    Random.create(3),
    Log.createSilent(),
    fleet,
    {
      canConnect: ({ id }) => {
        sent.push({ upstream: id, atMs: clock.monotonicMs() });
        const condition = conditions.get(id) ?? 'open';
        return new Promise((resolve) => {
          clock.after(condition === 'silent' ? connectTimeoutMs : 1, () => {
            resolve(condition === 'open');
          });
        });
      },
      nodesReaching: () => [],
      onChange: () => {
        changes.push(probes.cutOff().join());
      },
    },
  );
  return {
    clock,
    fleet,
    probes,
    sent,
    changes,
    setCondition: (condition, upstreams = [...fleet.members.keys()]) => {
      for (const id of upstreams) {
        conditions.set(id, condition);
      }
    },
    advance: async (byMs, each = () => undefined) => {
      for (let passedMs = 0; passedMs < byMs; passedMs += stepMs) {
        each();
        clock.advance(stepMs);
        await new Promise(setImmediate);
      }
    },
  };
};

describe('probes of a service that may be out of reach', () => {
  it('show a silent cut within 0.7 s while ten requests a second arrive', async () => {
    // Guards against requests that are sent to upstreams for seconds before the node knows.
    const { clock, probes, changes, setCondition, advance } = createFixture({ engine: 12 });
    probes.observer.onContact('engine');
    setCondition('silent');
    let lastSentAtMs = 0;
    await advance(700, () => {
      if (clock.monotonicMs() - lastSentAtMs >= 100) {
        lastSentAtMs = clock.monotonicMs();
        probes.observer.onSend('engine');
      }
    });
    expect(changes).to.deep.equal(['engine']);
  });

  it('show a cut at once when connections are reset and refused', async () => {
    const { probes, changes, setCondition, advance } = createFixture({ app: 2, engine: 12 });
    probes.observer.onContact('engine');
    setCondition('refused');
    probes.observer.onFailure('engine');
    await advance(300);
    // The other service had no request, and is found by the first one's verdict.
    expect(changes).to.deep.equal(['engine', 'app,engine']);
  });

  it('end a cut with the first connection that opens', async () => {
    const { probes, changes, sent, setCondition, advance } = createFixture({ engine: 12 });
    setCondition('refused');
    probes.observer.onFailure('engine');
    await advance(200);
    const before = sent.length;
    await advance(2000);
    expect(sent.length - before).to.equal(5);
    setCondition('open');
    await advance(405);
    expect(changes).to.deep.equal(['engine', '']);
    const after = sent.length;
    await advance(2000);
    expect(sent).to.have.length(after);
  });

  it('are not sent without a doubt', async () => {
    // Guards against connections that upstreams count, for nothing.
    const { probes, sent, advance } = createFixture({ app: 2, engine: 12 });
    await advance(5000, () => {
      const end = probes.observer.onSend('engine');
      probes.observer.onContact('engine');
      end();
    });
    expect(sent).to.deep.equal([]);
  });

  it('find no cut where engines accept connections, and write nothing for 2 s', async () => {
    // Guards against slow engines taken for a cut, and against a flood of connections to them.
    const { probes, sent, changes, advance } = createFixture({ engine: 12 });
    for (let index = 0; index < 20; index += 1) {
      probes.observer.onSend('engine');
    }
    await advance(2000);
    expect(changes).to.deep.equal([]);
    expect(sent.length).to.be.within(2, 6);
  });

  it('find no cut where one of two upstreams hangs, or crashes again and again', async () => {
    for (const condition of ['silent', 'refused'] as const) {
      const { probes, changes, sent, setCondition, advance } = createFixture({ app: 2 });
      setCondition(condition, ['app1']);
      probes.observer.onSend('app');
      await advance(4000, () => {
        probes.observer.onFailure('app');
      });
      expect(changes, condition).to.deep.equal([]);
      const timesOf = (id: string): readonly number[] =>
        sent.filter(({ upstream }) => upstream === id).map(({ atMs }) => atMs);
      for (const id of ['app1', 'app2']) {
        const intervalsMs = timesOf(id)
          .slice(1)
          .map((atMs, index) => atMs - (timesOf(id)[index] ?? 0));
        expect(Math.min(...intervalsMs), `${condition} ${id}`).to.be.at.least(250);
      }
    }
  });

  it('find no cut where all upstreams of two data centres of three have crashed', async () => {
    const { probes, fleet, changes, setCondition, advance } = createFixture({ engine: 12 });
    for (const { upstream } of fleet.members.values()) {
      if (upstream.dataCentre !== 'a') {
        setCondition(upstream.dataCentre === 'b' ? 'refused' : 'silent', [upstream.id]);
      }
    }
    for (let round = 0; round < 40; round += 1) {
      probes.observer.onFailure('engine');
      await advance(500);
    }
    expect(changes).to.deep.equal([]);
  });

  it('end a cut when the service has no upstream left', async () => {
    const { probes, changes, fleet, setCondition, advance } = createFixture({ app: 1 });
    setCondition('refused');
    probes.observer.onFailure('app');
    await advance(200);
    fleet.remove('app1', 0);
    await advance(200);
    expect(changes).to.deep.equal(['app', '']);
  });
});
