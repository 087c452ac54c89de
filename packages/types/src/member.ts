import type { DataCentreId, Incarnation, NodeId, RegionId } from './ids.js';

export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'gone';

/** Membership record of one node. Records of a node are ordered by incarnation, then by status. */
export interface Member {
  readonly nodeId: NodeId;
  readonly incarnation: Incarnation;
  /** Incarnation at the start of the process; idempotency tickets refer to this one. */
  readonly processIncarnation: Incarnation;
  readonly host: string;
  readonly callerPort: number;
  readonly linkPort: number;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
  readonly status: MemberStatus;
}
