import type { FleetMember } from '@zinniagrade/serving';
import type { RunCopy } from './upstream-client.js';

/** A copy of a running request at another engine, from which it can go on. */
export interface Standby {
  readonly holder: FleetMember;
  readonly copy: RunCopy;
  /** From when on the copy is certain to be there. */
  readonly readyAtMs: number;
}

/** Whether the engine can take the run over. */
const isSound = (member: FleetMember): boolean =>
  !member.leaving && member.goneAtMs === undefined;

/** Whether a running request may be stopped in favour of the copy. */
export const isReady = (standby: Standby, nowMs: number): boolean =>
  isSound(standby.holder) && standby.readyAtMs <= nowMs;

/** Whether the copy is worth a try after the run was lost: nothing better is left then. */
export const isLastResort = (standby: Standby): boolean => standby.holder.goneAtMs === undefined;
