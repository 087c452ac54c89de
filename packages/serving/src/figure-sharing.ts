import { agedValue, weightAt, type Figure, type FigureKind } from './figure.js';
import type { FleetMember } from './fleet.js';
import { figureKinds, type UnsharedFigure } from './upstream-figures.js';

/** A figure of one upstream, as it is sent to other nodes. */
export interface SharedFigure extends Figure {
  readonly member: FleetMember;
  readonly kind: FigureKind;
}

/**
 * Figures that all nodes together share in a second. At about 30 bytes each, every node receives 2.4
 * KB/s at most, however many nodes there are.
 */
const maxFiguresPerSecond = 80;
/** A node that had nothing to share for a while may share what it would have in this time. */
const maxSavedMs = 3000;
/** So that a node can share anything at all. */
const minAllowance = 1;
/** Snapshots leave out what is too old to be of use. */
const minSnapshotWeight = 0.2;

/** Chooses what a node shares of its observations, within its part of the rate of all nodes. */
export interface FigureSharing {
  /** The figures to share now, the most needed first; they count as shared. */
  readonly take: (
    members: Iterable<FleetMember>,
    nodeCount: number,
    nowMs: number,
  ) => readonly SharedFigure[];
}

export const FigureSharing = {
  create: (createdAtMs: number): FigureSharing => {
    let allowance = minAllowance;
    let allowanceAtMs = createdAtMs;

    const refill = (nodeCount: number, nowMs: number): void => {
      const perMs = maxFiguresPerSecond / 1000 / Math.max(1, nodeCount);
      const most = Math.max(minAllowance, perMs * maxSavedMs);
      allowance = Math.min(most, allowance + perMs * (nowMs - allowanceAtMs));
      allowanceAtMs = nowMs;
    };

    return {
      take: (members, nodeCount, nowMs) => {
        refill(nodeCount, nowMs);
        const found: (UnsharedFigure & { readonly member: FleetMember })[] = [];
        for (const member of members) {
          for (const unshared of member.figures.unshared(nowMs)) {
            found.push({ ...unshared, member });
          }
        }
        found.sort((a, b) => b.urgency - a.urgency);
        const taken = found.slice(0, Math.floor(allowance));
        allowance -= taken.length;
        for (const { member, kind } of taken) {
          member.figures.markShared(kind, nowMs);
        }
        return taken;
      },
    };
  },
};

/** The merged figures for a node that has none yet. */
export const figureSnapshot = (
  members: Iterable<FleetMember>,
  nowMs: number,
): readonly SharedFigure[] => {
  const found: SharedFigure[] = [];
  for (const member of members) {
    for (const kind of figureKinds) {
      const figure = member.figures.figure(kind);
      const isOfUse = weightAt(figure, nowMs) >= minSnapshotWeight;
      const isOfNote = kind !== 'failureShare' || agedValue(figure, 0, nowMs) > 0.02;
      if (figure !== undefined && isOfUse && isOfNote && member.goneAtMs === undefined) {
        found.push({ ...figure, member, kind });
      }
    }
  }
  return found;
};
