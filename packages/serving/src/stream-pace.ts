import { weightAt, type Figure } from './figure.js';
import type { FleetMember } from './fleet.js';
import type { UpstreamUse } from './peer-use.js';
import { ownUse } from './peer-use.js';

/** How much longer a token takes at an engine when its batch grows, learned from all engines. */
export interface BatchSlowdown {
  /** To be called with each observation, before it is merged into the figure of its engine. */
  readonly record: (figure: Figure | undefined, msPerToken: number, batch: number) => void;
  /**
   * Relative growth of the time per token for each relative growth of the batch: 0 if it doesn't
   * matter, 1 if the time is proportional to the batch.
   */
  readonly factor: () => number;
}

/** Assumed until engines have been seen with different batches, as if by this many observations. */
const assumedFactor = 0.5;
const assumedWeight = 1;
/** Each observation makes the earlier ones count for this share. */
const keptShare = 0.99;

export const BatchSlowdown = {
  create: (): BatchSlowdown => {
    // Sums of a regression through the figure of each engine.
    let products = 0;
    let squares = 0;
    return {
      record: (figure, msPerToken, batch) => {
        if (figure?.batch === undefined || figure.batch <= 0 || figure.value <= 0) {
          return;
        }
        const batchChange = (batch - figure.batch) / figure.batch;
        const timeChange = (msPerToken - figure.value) / figure.value;
        products = keptShare * products + batchChange * timeChange;
        squares = keptShare * squares + batchChange * batchChange;
      },
      factor: () =>
        Math.min(
          1,
          Math.max(0, (products + assumedWeight * assumedFactor) / (squares + assumedWeight)),
        ),
    };
  },
};

/** What a long stream expects of its engine after its first event. */
export interface PauseGoal {
  /** Longest time between two events that isn't late. */
  readonly gapGoalMs: number;
  readonly tokensPerEvent: number;
  readonly slowdown: BatchSlowdown;
}

/** Records the time per token that this node has seen at an engine with this many requests. */
export const recordTokenTime = (
  member: FleetMember,
  msPerToken: number,
  batch: number,
  slowdown: BatchSlowdown,
  nowMs: number,
): void => {
  slowdown.record(member.figures.figure('msPerToken'), msPerToken, batch);
  member.figures.observe('msPerToken', msPerToken, nowMs, true, batch);
};

/** A figure of less weight is too old to go by. */
const minWeight = 0.2;
/** Times between events vary, so that some are late already where their mean is this share of the goal. */
const toleratedShare = 0.8;
/**
 * Cost of a mean gap that exceeds the tolerated one by the whole goal, as waiting time for the first
 * event: a stream that is late costs as much if it is by its gaps as by its first event.
 */
const pausePenaltyMs = 5000;
/** Longest gap that is told apart from longer ones, in goals. */
const maxGoals = 3;

interface TypicalTokenTime {
  readonly msPerToken: number;
  readonly batch: number;
}

const usableFigure = (member: FleetMember, nowMs: number): Figure | undefined => {
  const figure = member.figures.figure('msPerToken');
  return weightAt(figure, nowMs) >= minWeight ? figure : undefined;
};

const typicalTokenTime = (
  members: readonly FleetMember[],
  nowMs: number,
): TypicalTokenTime | undefined => {
  let msPerToken = 0;
  let batch = 0;
  let count = 0;
  for (const member of members) {
    const figure = usableFigure(member, nowMs);
    msPerToken += figure?.value ?? 0;
    batch += figure?.batch ?? 0;
    count += figure === undefined ? 0 : 1;
  }
  return count === 0 ? undefined : { msPerToken: msPerToken / count, batch: batch / count };
};

/**
 * Returns the cost of the pauses that a long stream would have at a member, beside its other costs. An engine
 * whose speed isn't known counts as the typical one.
 */
export const createPauseCost = (
  members: readonly FleetMember[],
  goal: PauseGoal | undefined,
  peerUse: (upstream: string) => UpstreamUse,
  nowMs: number,
): ((member: FleetMember) => number) => {
  const typical = goal === undefined ? undefined : typicalTokenTime(members, nowMs);
  if (goal === undefined || typical === undefined || !(goal.gapGoalMs > 0)) {
    return () => 0;
  }
  const factor = goal.slowdown.factor();
  return (member) => {
    const figure = usableFigure(member, nowMs);
    const msPerToken = figure?.value ?? typical.msPerToken;
    const seenBatch = Math.max(1, figure?.batch ?? typical.batch);
    const batch = ownUse(member).requests + peerUse(member.upstream.id).requests + 1;
    const growth = Math.max(0, 1 + (factor * (batch - seenBatch)) / seenBatch);
    const gapMs = msPerToken * growth * Math.max(1, goal.tokensPerEvent);
    const goals = Math.min(maxGoals, gapMs / goal.gapGoalMs);
    return pausePenaltyMs * Math.max(0, goals - toleratedShare);
  };
};
