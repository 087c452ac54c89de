import type {
  ChangeSet,
  HeldShare,
  Incarnation,
  Milliseconds,
  Move,
  MoveId,
  MoveReport,
  MoveShare,
  NodeId,
  VersionEvidence,
} from '@zinniagrade/types';
import type { CoordinatorAction, MoveTime } from './coordinated-move.js';
import { CoordinatedMove } from './move-coordinator.js';
import { NodeMove } from './node-move.js';
import { latestReportOf } from './move-reports.js';
import { coordinatorOf, phaseOf, shortHash } from './move-phase.js';
import type { MovesAction, MovesEvent } from './moves-event.js';

/** State of all moves at one node: its part in each, and the moves that it coordinates. */
export interface Moves {
  readonly nodeId: NodeId;
  readonly incarnation: Incarnation;
  readonly moves: Readonly<Record<MoveId, Move>>;
  /** Nodes that take part in moves: all except those that are gone. */
  readonly nodes: readonly NodeId[];
  /** Leaving nodes, which are not chosen as coordinators. */
  readonly leaving: readonly NodeId[];
  readonly coordinators: Readonly<Record<MoveId, NodeId | undefined>>;
  /** This node's part in each running move. */
  readonly nodeMoves: Readonly<Record<MoveId, NodeMove>>;
  readonly coordinated: Readonly<Record<MoveId, CoordinatedMove>>;
}

export interface MovesStep {
  readonly state: Moves;
  readonly actions: readonly MovesAction[];
}

const create = (nodeId: NodeId, incarnation: Incarnation): Moves => ({
  nodeId,
  incarnation,
  moves: {},
  nodes: [nodeId],
  leaving: [],
  coordinators: {},
  nodeMoves: {},
  coordinated: {},
});

const withCoordinators = (state: Moves): Moves => {
  const staying = state.nodes.filter((node) => !state.leaving.includes(node));
  const coordinators: Record<MoveId, NodeId | undefined> = {};
  for (const move of Object.values(state.moves)) {
    if (move.state === 'planned') {
      coordinators[move.id] = coordinatorOf(move.id, staying.length === 0 ? state.nodes : staying);
    }
  }
  return { ...state, coordinators };
};

/** Drops the state of moves that are no longer active, and applies the current coordinators. */
const refresh = (state: Moves, now: MoveTime): Moves => {
  const nodeMoves: Record<MoveId, NodeMove> = {};
  const coordinated: Record<MoveId, CoordinatedMove> = {};
  for (const move of Object.values(state.moves)) {
    const phase = phaseOf(move, now.wallMs);
    if (move.state !== 'planned' || phase === 'waiting') {
      continue;
    }
    const coordinator = state.coordinators[move.id];
    if (phase === 'running') {
      nodeMoves[move.id] = NodeMove.withCoordinator(
        state.nodeMoves[move.id] ?? NodeMove.create(move),
        coordinator,
      );
    }
    if (coordinator === state.nodeId) {
      coordinated[move.id] =
        state.coordinated[move.id] ?? CoordinatedMove.create(state.nodeId, move, now.monotonicMs);
    }
  }
  return { ...state, nodeMoves, coordinated };
};

const receiveReports = (
  state: Moves,
  from: NodeId,
  reports: readonly MoveReport[],
  now: MoveTime,
): Moves => {
  const coordinated = { ...state.coordinated };
  for (const report of reports) {
    const known = coordinated[report.move];
    if (known !== undefined && report.coordinator === state.nodeId) {
      coordinated[report.move] = CoordinatedMove.receiveReport(known, from, report, now);
    }
  }
  return { ...state, coordinated };
};

const receiveGrants = (state: Moves, from: NodeId, shares: readonly MoveShare[]): Moves => {
  const nodeMoves = { ...state.nodeMoves };
  for (const share of shares) {
    const known = nodeMoves[share.move];
    if (known !== undefined) {
      nodeMoves[share.move] = NodeMove.withGrant(known, from, share);
    }
  }
  return { ...state, nodeMoves };
};

const recordOutcomes = (
  state: Moves,
  evidence: readonly VersionEvidence[],
  now: MoveTime,
): Moves => {
  const nodeMoves: Record<MoveId, NodeMove> = {};
  for (const [id, known] of Object.entries(state.nodeMoves)) {
    nodeMoves[id] = NodeMove.withOutcomes(known, evidence, now.monotonicMs);
  }
  return { ...state, nodeMoves };
};

const sendReports = (before: Moves, now: MoveTime): MovesStep => {
  let state = before;
  const byCoordinator = new Map<NodeId, MoveReport[]>();
  for (const [id, nodeMove] of Object.entries(before.nodeMoves)) {
    const due = NodeMove.report(nodeMove, before.incarnation, now.monotonicMs);
    if (due.report === undefined) {
      continue;
    }
    state = { ...state, nodeMoves: { ...state.nodeMoves, [id]: due.state } };
    const list = byCoordinator.get(due.report.coordinator) ?? [];
    list.push(due.report);
    byCoordinator.set(due.report.coordinator, list);
  }
  const actions: MovesAction[] = [];
  for (const [to, reports] of byCoordinator) {
    if (to === state.nodeId) {
      state = receiveReports(state, to, reports, now);
    } else {
      actions.push({ kind: 'send', to, message: { kind: 'move-evidence', evidence: [], reports } });
    }
  }
  return { state, actions };
};

/**
 * Each attempt of a node to write an outcome has the same operation id, so retries are idempotent.
 */
const changeSetOf = (
  nodeId: NodeId,
  action: Extract<CoordinatorAction, { kind: 'commit' }>,
): ChangeSet => ({
  operationId: `move-${action.change.outcome}-${shortHash(action.change.id, nodeId)}`,
  changes: [action.change],
});

const applyAction = (state: Moves, action: CoordinatorAction): MovesStep => {
  switch (action.kind) {
    case 'grant':
      return action.to === state.nodeId
        ? { state: receiveGrants(state, action.to, [action.share]), actions: [] }
        : {
            state,
            actions: [
              {
                kind: 'send',
                to: action.to,
                message: { kind: 'move-grant', shares: [action.share] },
              },
            ],
          };
    case 'commit': {
      const changeSet = changeSetOf(state.nodeId, action);
      const { notAfterWallMs } = action;
      return {
        state,
        actions: [
          notAfterWallMs === undefined
            ? { kind: 'commit', changeSet }
            : { kind: 'commit', changeSet, notAfterWallMs },
        ],
      };
    }
    case 'raised': {
      const fields = { move: action.move, share: action.share };
      return { state, actions: [{ kind: 'timeline', name: 'move-share-raised', fields }] };
    }
    case 'found-bad': {
      const fields = { move: action.move, reason: action.reason };
      return { state, actions: [{ kind: 'timeline', name: 'move-version-bad', fields }] };
    }
  }
};

/**
 * A leaving node without a report for this long is assumed to have ended; its shares have lapsed.
 */
const leavingTimeoutMs: Milliseconds = 3000;

/** Nodes whose evidence is required: all except those that have left. */
const participants = (
  { leaving, nodes }: Moves,
  coordinated: CoordinatedMove,
  now: MoveTime,
): readonly NodeId[] =>
  nodes.filter((node) => {
    const heardAt = latestReportOf(coordinated.reports, node)?.receivedAt ?? coordinated.startedAt;
    return !leaving.includes(node) || now.monotonicMs - heardAt < leavingTimeoutMs;
  });

const coordinate = (before: Moves, now: MoveTime): MovesStep => {
  let state = before;
  const actions: MovesAction[] = [];
  for (const [id, coordinated] of Object.entries(before.coordinated)) {
    const advanced = CoordinatedMove.advance(
      coordinated,
      participants(state, coordinated, now),
      now,
    );
    if (advanced.state !== coordinated) {
      state = { ...state, coordinated: { ...state.coordinated, [id]: advanced.state } };
    }
    for (const action of advanced.actions) {
      const applied = applyAction(state, action);
      state = applied.state;
      actions.push(...applied.actions);
    }
  }
  return { state, actions };
};

const advance = (before: Moves, now: MoveTime): MovesStep => {
  const reported = sendReports(refresh(before, now), now);
  const coordinated = coordinate(reported.state, now);
  return {
    state: coordinated.state,
    actions: [...reported.actions, ...coordinated.actions],
  };
};

const isIdle = (state: Moves): boolean =>
  Object.values(state.moves).every(({ state: moveState }) => moveState !== 'planned');

/** Processes one event. A `tick` is due every 100 ms; all times are taken from `now`. */
const step = (state: Moves, event: MovesEvent, now: MoveTime): MovesStep => {
  switch (event.kind) {
    case 'configuration':
      return advance(withCoordinators({ ...state, moves: event.moves }), now);
    case 'members':
      return advance(
        withCoordinators({ ...state, nodes: event.nodes, leaving: event.leaving }),
        now,
      );
    case 'outcomes':
      return { state: recordOutcomes(state, event.evidence, now), actions: [] };
    case 'reports-received': {
      const received = receiveReports(state, event.from, event.reports, now);
      // Judged at once, before later good answers of other nodes can hide the bad ones.
      return event.reports.some(({ urgent }) => urgent === true)
        ? coordinate(received, now)
        : { state: received, actions: [] };
    }
    case 'grants-received':
      return { state: receiveGrants(state, event.from, event.shares), actions: [] };
    case 'tick':
      return isIdle(state) ? { state, actions: [] } : advance(state, now);
  }
};

/**
 * Shares for the data path, which compares `lapsesAt` with its monotonic clock at each use. A move
 * past its deadline has none.
 */
const shares = (state: Moves, wallMs: Milliseconds): ReadonlyMap<MoveId, HeldShare> => {
  const held = new Map<MoveId, HeldShare>();
  for (const [id, nodeMove] of Object.entries(state.nodeMoves)) {
    if (nodeMove.held.share > 0 && phaseOf(nodeMove.move, wallMs) === 'running') {
      held.set(id, nodeMove.held);
    }
  }
  return held;
};

export const Moves = { create, step, shares };
