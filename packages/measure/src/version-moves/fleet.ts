import type { Random } from '@zinniagrade/clock';
import {
  coordinatorOf,
  evidenceOf,
  Moves,
  type MovesEvent,
  type Outcome,
} from '@zinniagrade/moves';
import type { Change, Milliseconds, Move, NodeId, NodeMessage } from '@zinniagrade/types';

/** One-way delay of a link between two nodes. */
const linkDelayMs = { min: 1, max: 40 } as const;
/** Time from the store's answer until a node has the change. */
const propagationMs = { min: 50, max: 2500 } as const;
const storeWriteMs = { min: 5, max: 200 } as const;
/** Time from the death of a node until the others consider it gone. */
const goneAfterMs: Milliseconds = 3000;

export interface LinkCut {
  readonly a: NodeId;
  readonly b: NodeId;
  readonly from: Milliseconds;
  readonly until: Milliseconds;
}

/** The nodes of a deployment, which run the `moves` package, with their links and the store. */
export interface SimulatedFleet {
  readonly alive: () => readonly NodeId[];
  readonly coordinator: () => NodeId | undefined;
  readonly recordOutcome: (node: NodeId, outcome: Outcome) => void;
  /** Share of the new version at a node now; 1 once the node sees the move as done. */
  readonly shareOf: (node: NodeId) => number;
  readonly advance: (now: Milliseconds) => void;
  readonly kill: (node: NodeId) => void;
  readonly cutLink: (cut: LinkCut) => void;
  readonly move: () => Move;
  readonly judgedBad: () => boolean;
}

export interface FleetOptions {
  readonly nodes: number;
  readonly move: Move;
  readonly random: Random;
  readonly isStoreDown: (now: Milliseconds) => boolean;
}

interface ScheduledEvent {
  readonly at: Milliseconds;
  readonly run: () => void;
}

const tickMs: Milliseconds = 100;

export const SimulatedFleet = {
  create: ({ nodes, move: planned, random, isStoreDown }: FleetOptions): SimulatedFleet => {
    const nodeIds = Array.from({ length: nodes }, (_, index) => `node-${index}`);
    const states = new Map(nodeIds.map((id) => [id, Moves.create(id, 1)]));
    const unreportedOutcomes = new Map(nodeIds.map((id): [NodeId, Outcome[]] => [id, []]));
    const cuts: LinkCut[] = [];
    let scheduledEvents: ScheduledEvent[] = [];
    let now: Milliseconds = 0;
    let move = planned;
    let judgedBad = false;

    const drawDelay = ({ min, max }: { readonly min: number; readonly max: number }): number =>
      min + (max - min) * random();

    const schedule = (afterMs: Milliseconds, run: () => void): void => {
      scheduledEvents.push({ at: now + afterMs, run });
    };

    /** A link that is cut delivers its messages after the cut ends. */
    const deliveryDelay = (from: NodeId, to: NodeId): Milliseconds => {
      let wait = drawDelay(linkDelayMs);
      for (const cut of cuts) {
        const isActive = (cut.a === from && cut.b === to) || (cut.a === to && cut.b === from);
        if (isActive && now >= cut.from && now < cut.until) {
          wait += cut.until - now;
        }
      }
      return wait;
    };

    const receive = (from: NodeId, to: NodeId, message: NodeMessage): void => {
      if (message.kind === 'move-evidence') {
        stepNode(to, { kind: 'reports-received', from, reports: message.reports ?? [] });
      } else if (message.kind === 'move-grant') {
        stepNode(to, { kind: 'grants-received', from, shares: message.shares });
      }
    };

    const commit = (change: Change, notAfter: Milliseconds): void => {
      if (isStoreDown(now) || now > notAfter || change.kind !== 'end-move') {
        return;
      }
      schedule(drawDelay(storeWriteMs), () => {
        if (move.state !== 'planned') {
          return;
        }
        move = { ...move, state: change.outcome, reason: change.reason };
        for (const id of states.keys()) {
          schedule(drawDelay(propagationMs), () => {
            stepNode(id, { kind: 'configuration', moves: { [move.id]: move } });
          });
        }
      });
    };

    const stepNode = (id: NodeId, event: MovesEvent): void => {
      const state = states.get(id);
      if (state === undefined) {
        return;
      }
      const result = Moves.step(state, event, { monotonicMs: now, wallMs: now });
      states.set(id, result.state);
      for (const action of result.actions) {
        if (action.kind === 'send') {
          const { message, to } = action;
          schedule(deliveryDelay(id, to), () => {
            receive(id, to, message);
          });
        } else if (action.kind === 'commit') {
          for (const change of action.changeSet.changes) {
            commit(change, action.notAfterWallMs ?? Infinity);
          }
        } else if (action.name === 'move-version-bad') {
          judgedBad = true;
        }
      }
    };

    const tick = (id: NodeId): void => {
      const outcomes = unreportedOutcomes.get(id) ?? [];
      if (outcomes.length > 0) {
        unreportedOutcomes.set(id, []);
        stepNode(id, { kind: 'outcomes', evidence: outcomes.map(evidenceOf) });
      }
      stepNode(id, { kind: 'tick' });
      if (states.has(id)) {
        schedule(tickMs, () => {
          tick(id);
        });
      }
    };

    const alive = (): readonly NodeId[] => [...states.keys()];
    const announceMembers = (): void => {
      for (const id of alive()) {
        stepNode(id, { kind: 'members', nodes: alive(), leaving: [] });
      }
    };

    announceMembers();
    for (const id of nodeIds) {
      stepNode(id, { kind: 'configuration', moves: { [move.id]: move } });
      schedule(tickMs * random(), () => {
        tick(id);
      });
    }
    return {
      alive,
      coordinator: () => coordinatorOf(move.id, alive()),
      recordOutcome: (node, outcome) => unreportedOutcomes.get(node)?.push(outcome),
      shareOf: (node) => {
        const state = states.get(node);
        if (state === undefined) {
          return 0;
        }
        if (state.moves[move.id]?.state === 'done') {
          return 1;
        }
        const held = Moves.shares(state, now).get(move.id);
        return held !== undefined && held.lapsesAt > now ? held.share : 0;
      },
      advance: (to) => {
        now = to;
        for (let dueEvents = scheduledEvents.filter(({ at }) => at <= now); dueEvents.length > 0;) {
          scheduledEvents = scheduledEvents.filter(({ at }) => at > now);
          for (const { run } of dueEvents.sort((a, b) => a.at - b.at)) {
            run();
          }
          dueEvents = scheduledEvents.filter(({ at }) => at <= now);
        }
      },
      kill: (node) => {
        states.delete(node);
        schedule(goneAfterMs, announceMembers);
      },
      cutLink: (cut) => cuts.push(cut),
      move: () => move,
      judgedBad: () => judgedBad,
    };
  },
};
