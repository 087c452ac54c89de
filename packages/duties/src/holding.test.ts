import { expect } from 'chai';
import fc from 'fast-check';
import { Holding } from './holding.js';
import type {
  ClaimOutcome,
  HoldingAction,
  HoldingEvent,
  HoldingSettings,
  HoldingState,
  StoredHolder,
} from './holding-state.js';
import type { Instant } from './instant.js';

const leaseMs = 3000;
const callMs = 800;
const actIntervalMs = 250;
const changesPerEra = 2 ** 32;
const subject = 'usage';

interface Act {
  readonly atMs: number;
  readonly node: number;
  readonly token: number;
}

/** How the store treats writes of claims, releases and leases. */
type StoreMode = 'sound' | 'loses-replies' | 'applies-late' | 'down';

type Command =
  | { readonly kind: 'advance'; readonly ms: number }
  | { readonly kind: 'suspend'; readonly node: number; readonly ms: number }
  | { readonly kind: 'restart' | 'leave' | 'withdraw' | 'offer'; readonly node: number }
  /** The holder's calls don't reach the platform. */
  | { readonly kind: 'fail'; readonly node: number }
  | { readonly kind: 'cut'; readonly node: number; readonly isCut: boolean }
  | { readonly kind: 'store'; readonly mode: StoreMode }
  | { readonly kind: 'copy' | 'restore' };

interface Entry {
  readonly holder: StoredHolder;
  readonly revision: number;
  readonly lease: string;
}

interface SimulatedNode {
  state: HoldingState;
  settings: HoldingSettings;
  suspendedUntilMs: number;
  /** Time for which the monotonic clock stood still. */
  suspendedMs: number;
  incarnation: number;
  isCut: boolean;
}

/** Nodes that hold one subject at a simulated store and act whenever they may. */
class Simulation {
  readonly acts: Act[] = [];
  private nowMs = 0;
  private order = 0;
  private queue: { atMs: number; order: number; run: () => void }[] = [];
  private era = 1;
  private revision = 1;
  private leaseCount = 0;
  private leases = new Map<string, number>();
  private entry: Entry | undefined;
  private mode: StoreMode = 'sound';
  private copied: { entry: Entry | undefined; revision: number } = {
    entry: undefined,
    revision: 1,
  };
  private readonly nodes: SimulatedNode[];

  constructor(
    nodeCount: number,
    private readonly delays: readonly number[],
  ) {
    this.nodes = Array.from({ length: nodeCount }, (_, node) => this.createNode(node, 0));
    for (const [node] of this.nodes.entries()) {
      this.startNode(node);
    }
  }

  run(command: Command): void {
    switch (command.kind) {
      case 'advance':
        this.advance(command.ms);
        return;
      case 'suspend': {
        const node = this.node(command.node);
        const untilMs = Math.max(node.suspendedUntilMs, this.nowMs + command.ms);
        node.suspendedMs += untilMs - Math.max(node.suspendedUntilMs, this.nowMs);
        node.suspendedUntilMs = untilMs;
        return;
      }
      case 'restart':
        this.nodes[command.node] = this.createNode(
          command.node,
          this.node(command.node).incarnation + 1,
        );
        this.startNode(command.node);
        return;
      case 'leave':
        this.dispatch(command.node, { kind: 'leave' });
        return;
      case 'withdraw':
      case 'offer':
        this.dispatch(command.node, { kind: command.kind, subject });
        return;
      case 'fail':
        for (let failure = 0; failure < 3; failure += 1) {
          this.dispatch(command.node, { kind: 'acted', subject, outcome: 'not-sent' });
        }
        return;
      case 'cut':
        this.node(command.node).isCut = command.isCut;
        return;
      case 'store':
        this.mode = command.mode;
        return;
      case 'copy':
        this.copied = { entry: this.entry, revision: this.revision };
        return;
      case 'restore':
        this.era += 1;
        this.leases = new Map(
          this.copied.entry === undefined
            ? []
            : [[this.copied.entry.lease, this.nowMs + leaseMs] as const],
        );
        this.revision = this.copied.revision;
        this.entry = this.copied.entry;
        this.announce();
    }
  }

  advance(ms: number): void {
    const endMs = this.nowMs + ms;
    for (;;) {
      this.queue.sort((a, b) => a.atMs - b.atMs || a.order - b.order);
      const next = this.queue[0];
      if (next === undefined || next.atMs > endMs) {
        break;
      }
      this.queue.shift();
      this.nowMs = Math.max(this.nowMs, next.atMs);
      this.expireLeases();
      next.run();
    }
    this.nowMs = endMs;
  }

  private createNode(node: number, incarnation: number): SimulatedNode {
    const now = { monotonicMs: this.nowMs, wallMs: this.nowMs };
    return {
      state: Holding.create(now),
      settings: {
        node: `n${String(node)}`,
        incarnation: String(incarnation),
        leaseMs,
      },
      suspendedUntilMs: 0,
      suspendedMs: 0,
      incarnation,
      isCut: false,
    };
  }

  private startNode(index: number): void {
    const { incarnation } = this.node(index);
    this.dispatch(index, { kind: 'offer', subject });
    this.later(20, () => {
      this.announceTo(index);
    });
    const act = (): void => {
      if (this.node(index).incarnation === incarnation) {
        this.act(index);
        this.later(actIntervalMs, act);
      }
    };
    this.later(actIntervalMs, act);
  }

  private node(index: number): SimulatedNode {
    const node = this.nodes[index];
    if (node === undefined) {
      throw new Error('no such node');
    }
    return node;
  }

  private delay(): number {
    this.order += 1;
    return this.delays[this.order % this.delays.length] ?? 5;
  }

  private later(ms: number, run: () => void): void {
    this.order += 1;
    this.queue.push({ atMs: this.nowMs + ms, order: this.order, run });
  }

  /** Runs something at a node, once it isn't suspended, unless its process has ended by then. */
  private atNode(index: number, ms: number, run: () => void): void {
    const { incarnation } = this.node(index);
    this.later(ms, () => {
      const node = this.node(index);
      if (node.incarnation !== incarnation) {
        return;
      }
      if (node.suspendedUntilMs > this.nowMs) {
        this.atNode(index, node.suspendedUntilMs - this.nowMs, run);
      } else {
        run();
      }
    });
  }

  private instant(node: SimulatedNode): Instant {
    return { monotonicMs: this.nowMs - node.suspendedMs, wallMs: this.nowMs };
  }

  private dispatch(index: number, event: HoldingEvent): void {
    const node = this.node(index);
    const now = this.instant(node);
    const { state, actions } = Holding.step(node.settings, node.state, event, now);
    node.state = state;
    for (const action of actions) {
      this.carryOut(index, action);
    }
  }

  private act(index: number): void {
    const node = this.node(index);
    if (node.suspendedUntilMs > this.nowMs) {
      return;
    }
    const now = this.instant(node);
    const token = Holding.tokenFor(node.settings, node.state, subject, callMs, now);
    if (token !== undefined) {
      this.dispatch(index, { kind: 'acting', subject, callMs });
      this.later(Math.min(callMs, 5 * this.delay()), () => {
        this.acts.push({ atMs: this.nowMs, node: index, token });
      });
    }
  }

  private carryOut(index: number, action: HoldingAction): void {
    const node = this.node(index);
    const sentAt = this.instant(node);
    const reply = (event: HoldingEvent): void => {
      this.atNode(index, this.delay(), () => {
        this.dispatch(index, { kind: 'era', era: this.era });
        this.dispatch(index, event);
      });
    };
    /** Calls the store; `apply` returns its reply, `lost` is what the node takes a lost one for. */
    const call = (apply: () => HoldingEvent, lost: HoldingEvent): void => {
      const isDown = this.mode === 'down' || node.isCut;
      if (isDown || this.mode === 'loses-replies') {
        if (!isDown) {
          this.later(this.delay(), apply);
        }
        this.atNode(index, 1000, () => {
          this.dispatch(index, lost);
        });
        return;
      }
      if (this.mode === 'applies-late') {
        this.later(1500 + 10 * this.delay(), apply);
        this.atNode(index, 1000, () => {
          this.dispatch(index, lost);
        });
        return;
      }
      this.later(this.delay(), () => {
        reply(apply());
      });
    };
    switch (action.kind) {
      case 'wake-at':
        this.atNode(index, Math.max(0, action.atMs - sentAt.monotonicMs), () => {
          this.dispatch(index, { kind: 'wake', ranks: new Map([[subject, index]]) });
        });
        return;
      case 'grant-lease':
        call(
          () => {
            this.leaseCount += 1;
            const lease = `${String(this.era)}:${String(this.leaseCount)}`;
            this.leases.set(lease, this.nowMs + leaseMs);
            return { kind: 'lease-granted', lease, sentAt };
          },
          { kind: 'lease-call-failed' },
        );
        return;
      case 'renew-lease':
        call(
          () => {
            const { lease } = action;
            if (!this.leases.has(lease)) {
              return { kind: 'lease-ended', lease };
            }
            this.leases.set(lease, this.nowMs + leaseMs);
            return { kind: 'lease-renewed', lease, sentAt };
          },
          { kind: 'lease-call-failed' },
        );
        return;
      case 'revoke-lease':
        this.later(this.delay(), () => {
          this.leases.set(action.lease, -1);
          this.expireLeases();
        });
        return;
      case 'claim': {
        const { claim, lease } = action;
        const { incarnation } = node.settings;
        const holder = { node: node.settings.node, incarnation, claim };
        const result = (outcome: ClaimOutcome): HoldingEvent => {
          return { kind: 'claimed', subject, claim, outcome, revision: this.entry?.revision ?? 0 };
        };
        call(() => {
          if (this.entry !== undefined) {
            return result('conflict');
          }
          if (!this.leases.has(lease)) {
            return result('lease-ended');
          }
          this.revision += 1;
          this.entry = { holder, revision: this.era * changesPerEra + this.revision, lease };
          this.announce();
          return result('done');
        }, result('unknown'));
        return;
      }
      case 'read-back':
        call(
          () => ({
            kind: 'read-back',
            subject,
            claim: action.claim,
            holder: this.entry?.holder,
            revision: this.entry?.revision ?? 0,
          }),
          { kind: 'read-back-failed', subject, claim: action.claim },
        );
        return;
      case 'release':
        call(
          () => {
            if (this.entry?.revision !== action.token) {
              return { kind: 'released', subject, outcome: 'conflict' };
            }
            this.removeEntry();
            return { kind: 'released', subject, outcome: 'done' };
          },
          { kind: 'released', subject, outcome: 'unknown' },
        );
        return;
      case 'gained':
      case 'lost':
    }
  }

  private removeEntry(): void {
    this.entry = undefined;
    this.revision += 1;
    this.announce();
  }

  private expireLeases(): void {
    for (const [lease, endsAtMs] of this.leases) {
      if (endsAtMs < this.nowMs) {
        this.leases.delete(lease);
        if (this.entry?.lease === lease) {
          this.removeEntry();
        }
      }
    }
    const nextMs = Math.min(...this.leases.values());
    if (Number.isFinite(nextMs) && nextMs >= this.nowMs) {
      this.queue = this.queue.filter(({ order }) => order !== -1);
      this.queue.push({ atMs: nextMs + 1, order: -1, run: () => undefined });
    }
  }

  /** Shows the key to all nodes, as the mirror of the store does. */
  private announce(): void {
    for (const [index] of this.nodes.entries()) {
      this.announceTo(index);
    }
  }

  private announceTo(index: number): void {
    const { era, entry } = this;
    const revision = entry?.revision ?? era * changesPerEra + this.revision;
    this.atNode(index, this.delay(), () => {
      if (!this.node(index).isCut) {
        this.dispatch(index, { kind: 'era', era });
        this.dispatch(index, { kind: 'stored', subject, holder: entry?.holder, revision });
      }
    });
  }
}

/** Which safety rule a sequence of acts breaks, in the order in which they arrive. */
const findBreach = (acts: readonly Act[]): string | undefined => {
  const nodeOfToken = new Map<number, number>();
  let highest = 0;
  for (const [index, act] of acts.entries()) {
    if ((nodeOfToken.get(act.token) ?? act.node) !== act.node) {
      return `token ${String(act.token)} used by two nodes`;
    }
    nodeOfToken.set(act.token, act.node);
    if (act.token < highest) {
      return `node ${String(act.node)} acted after it was superseded`;
    }
    highest = act.token;
    const recent = acts.slice(0, index).filter(({ atMs }) => atMs > act.atMs - leaseMs);
    const first = recent.findIndex(({ node }) => node === act.node);
    if (first >= 0 && recent.slice(first).some(({ node }) => node !== act.node)) {
      return `node ${String(act.node)} acted again within a lease`;
    }
  }
  return undefined;
};

const nodeCount = 3;
const node = fc.integer({ min: 0, max: nodeCount - 1 });
const commands = fc.array(
  fc.oneof<fc.Arbitrary<Command>[]>(
    fc.record({ kind: fc.constant('advance'), ms: fc.integer({ min: 50, max: 5000 }) }),
    fc.record({ kind: fc.constant('advance'), ms: fc.integer({ min: 1000, max: 4000 }) }),
    fc.record({
      kind: fc.constant('suspend'),
      node,
      ms: fc.integer({ min: 100, max: 8000 }),
    }),
    fc.record({ kind: fc.constant('advance'), ms: fc.integer({ min: 50, max: 900 }) }),
    fc.record({
      kind: fc.constantFrom('restart', 'restart', 'leave', 'withdraw', 'offer', 'offer', 'fail'),
      node,
    }),
    fc.record({ kind: fc.constant('cut'), node, isCut: fc.boolean() }),
    fc.record({
      kind: fc.constant('store'),
      mode: fc.constantFrom<StoreMode>('sound', 'sound', 'loses-replies', 'applies-late', 'down'),
    }),
    fc.record({ kind: fc.constantFrom('copy', 'restore') }),
  ),
  { minLength: 5, maxLength: 60 },
);
const delays = fc.array(fc.integer({ min: 1, max: 250 }), { minLength: 3, maxLength: 7 });

describe('holding a subject', () => {
  it('never has two holders of one token, a superseded holder, or holders A, B, A in a lease', function () {
    // Guards against holders that act after a pause, a lost reply, a lapsed lease or a restart.
    this.timeout(60_000);
    let actCount = 0;
    let holderCount = 0;
    fc.assert(
      fc.property(commands, delays, (steps, delaysOfRun) => {
        const simulation = new Simulation(nodeCount, delaysOfRun);
        for (const step of steps) {
          simulation.run(step);
        }
        simulation.advance(10_000);
        actCount += simulation.acts.length;
        holderCount += new Set(simulation.acts.map(({ token }) => token)).size;
        expect(findBreach(simulation.acts)).to.equal(undefined);
      }),
      { numRuns: 600 },
    );
    // The runs would prove nothing if no node acted, or if the holder never changed.
    expect(actCount).to.be.greaterThan(4000);
    expect(holderCount).to.be.greaterThan(200);
  });

  const actsAfter = (steps: readonly Command[]): readonly Act[] => {
    const simulation = new Simulation(nodeCount, [10, 20, 30]);
    simulation.advance(8000);
    const before = simulation.acts.length;
    for (const step of steps) {
      simulation.run(step);
    }
    return simulation.acts.slice(before);
  };
  const advance = (ms: number): Command => ({ kind: 'advance', ms });

  it('passes to the next node in about a lease when the holder is suspended', () => {
    // Guards against subjects that stay without a holder.
    const acts = actsAfter([{ kind: 'suspend', node: 0, ms: 20_000 }, advance(5000)]);
    expect(acts.at(-1)?.node).to.equal(1);
  });

  it('passes on at once when the holder leaves', () => {
    // Guards against a hand-over that waits for the lease to lapse.
    const acts = actsAfter([{ kind: 'leave', node: 0 }, advance(2200)]);
    expect(acts.at(-1)?.node).to.equal(1);
  });

  it('is gained though the reply of the claim was lost', () => {
    // Guards against a key that its own writer doesn't know of.
    const simulation = new Simulation(1, [10]);
    simulation.advance(1000);
    simulation.run({ kind: 'store', mode: 'loses-replies' });
    simulation.advance(3000);
    simulation.run({ kind: 'store', mode: 'sound' });
    simulation.advance(6000);
    expect(simulation.acts).not.to.be.empty;
  });

  it('is not claimed again within a lease by a node that gave it up', () => {
    // Guards against holders A, B, A within a lease.
    const withdrawals = [0, 1, 2].map((index): Command => ({ kind: 'withdraw', node: index }));
    const offers = [0, 1, 2].map((index): Command => ({ kind: 'offer', node: index }));
    const acts = actsAfter([
      ...withdrawals.slice(0, 1),
      ...offers.slice(0, 1),
      advance(1000),
      ...withdrawals.slice(1),
      advance(1500),
      ...offers,
      advance(6000),
    ]);
    expect(new Set(acts.map(({ node: index }) => index)).size).to.be.greaterThan(1);
    expect(findBreach(acts)).to.equal(undefined);
  });

  const at = (ms: number, wallMs = ms): Instant => ({ monotonicMs: ms, wallMs });
  const settings = { node: 'n', incarnation: '1', leaseMs };
  const ranks = new Map([[subject, 0]]);
  /** Claims under a lease granted at 3000 ms. */
  const claimEvents: readonly (readonly [number, HoldingEvent])[] = [
    [0, { kind: 'offer', subject }],
    [0, { kind: 'era', era: 1 }],
    [3000, { kind: 'wake', ranks }],
    [3001, { kind: 'lease-granted', lease: 'first', sentAt: at(3000) }],
    [3001, { kind: 'wake', ranks }],
  ];
  const stateAfter = (events: readonly (readonly [number, HoldingEvent])[]): HoldingState => {
    let state = Holding.create(at(0));
    for (const [ms, event] of events) {
      ({ state } = Holding.step(settings, state, event, at(ms)));
    }
    return state;
  };

  it('is not acted for when a call could outlast the lease', () => {
    // Guards against calls that arrive after the next holder's first, also after a suspension.
    const state = stateAfter([
      ...claimEvents,
      [3100, { kind: 'claimed', subject, claim: '1', outcome: 'done', revision: 7 }],
    ]);
    const tokenAt = (now: Instant): number | undefined =>
      Holding.tokenFor(settings, state, subject, callMs, now);
    expect(tokenAt(at(3000 + leaseMs - callMs - 200))).to.equal(7);
    expect(tokenAt(at(3000 + leaseMs - callMs))).to.equal(undefined);
    expect(tokenAt(at(3200, 3000 + leaseMs - callMs))).to.equal(undefined);
  });

  it('is not taken over from a claim under a lease that has lapsed', () => {
    // Guards against a key that lapses with its own lease while the node renews another one.
    const state = stateAfter([
      ...claimEvents,
      [3500, { kind: 'claimed', subject, claim: '1', outcome: 'unknown', revision: 0 }],
      [3600, { kind: 'read-back-failed', subject, claim: '1' }],
      [6100, { kind: 'wake', ranks }],
      [6101, { kind: 'lease-granted', lease: 'second', sentAt: at(6100) }],
    ]);
    const holder = { node: 'n', incarnation: '1', claim: '1' };
    const late = { kind: 'stored', subject, holder, revision: 9 } as const;
    const { actions } = Holding.step(settings, state, late, at(6102));
    expect(actions.map(({ kind }) => kind)).to.include('release');
    expect(actions.map(({ kind }) => kind)).not.to.include('gained');
  });
});
