import type { Member, NodeId } from '@zinniagrade/types';
import { hash32 } from './hash.js';

/**
 * One ring over all members connects the regions. The other rings are within a region, so that a
 * region that is cut off stays connected and reports of its members travel over few links.
 */
const globalRingCount = 1;
const regionRingCount = 3;

const isBefore = (a: readonly [number, NodeId], b: readonly [number, NodeId]): boolean =>
  a[0] < b[0] || (a[0] === b[0] && a[1] < b[1]);

/** Successor and predecessor on one hash ring. */
const ringNeighbours = (ring: number, self: NodeId, ids: readonly NodeId[]): readonly NodeId[] => {
  const positionOf = (id: NodeId) => [hash32(`${ring}|${id}`), id] as const;
  const ownPosition = positionOf(self);
  let next: readonly [number, NodeId] | undefined;
  let previous: readonly [number, NodeId] | undefined;
  let first: readonly [number, NodeId] | undefined;
  let last: readonly [number, NodeId] | undefined;
  for (const id of ids) {
    if (id === self) {
      continue;
    }
    const position = positionOf(id);
    first = first === undefined || isBefore(position, first) ? position : first;
    last = last === undefined || isBefore(last, position) ? position : last;
    if (isBefore(ownPosition, position)) {
      next = next === undefined || isBefore(position, next) ? position : next;
    } else {
      previous = previous === undefined || isBefore(previous, position) ? position : previous;
    }
  }
  return [next ?? first, previous ?? last].flatMap((position) =>
    position === undefined ? [] : [position[1]],
  );
};

/** The nodes that a node connects to: its successors and predecessors on 4 hash rings. */
export const neighboursOf = (self: Member, members: readonly Member[]): readonly NodeId[] => {
  const present = members.filter(({ status }) => status !== 'gone');
  const allIds = present.map(({ nodeId }) => nodeId);
  const regionIds = present
    .filter(({ region }) => region === self.region)
    .map(({ nodeId }) => nodeId);
  const neighbours = new Set<NodeId>();
  for (let ring = 0; ring < globalRingCount + regionRingCount; ring += 1) {
    const ringIds = ring < globalRingCount ? allIds : regionIds;
    for (const id of ringNeighbours(ring, self.nodeId, ringIds)) {
      neighbours.add(id);
    }
  }
  return [...neighbours].sort();
};
