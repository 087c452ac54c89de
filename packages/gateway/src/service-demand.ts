import type { Random } from '@zinniagrade/clock';
import {
  FreedMemory,
  PeerDemand,
  ReturnPromises,
  UrgentArrivals,
  type UrgentNeed,
} from '@zinniagrade/serving';
import type { RowFields } from './peer-topics.js';

/** What a node knows of the demand for one service, and what it has told others of its own. */
export interface ServiceDemand {
  readonly peers: PeerDemand;
  readonly arrivals: UrgentArrivals;
  readonly freed: FreedMemory;
  readonly promises: ReturnPromises;
  sharedPromises: RowFields | undefined;
  isScheduled: boolean;
  sharedAtMs: number;
  sharedWaiting: RowFields | undefined;
  needsSharedAtMs: number;
  sharedNeeds: readonly UrgentNeed[];
}

export const ServiceDemand = {
  create: (random: Random): ServiceDemand => ({
    peers: PeerDemand.create(),
    arrivals: UrgentArrivals.create(),
    freed: FreedMemory.create(),
    promises: ReturnPromises.create(random),
    sharedPromises: undefined,
    isScheduled: false,
    sharedAtMs: -Infinity,
    sharedWaiting: undefined,
    needsSharedAtMs: -Infinity,
    sharedNeeds: [],
  }),
};
