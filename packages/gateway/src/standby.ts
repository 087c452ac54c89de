import type { FleetMember } from '@zinniagrade/serving';
import type { RunCopy } from './upstream-client.js';

/** A copy of a running request at another engine, from which it can go on. */
export interface Standby {
  readonly holder: FleetMember;
  readonly copy: RunCopy;
  /** From when on the copy is certain to be there. */
  readonly readyAtMs: number;
}

/** Whether a running request may be stopped in favour of the copy. */
export const isReady = (standby: Standby, withdrawn: ReadonlySet<string>, nowMs: number): boolean =>
  isLastResort(standby, withdrawn) && !standby.holder.leaving && standby.readyAtMs <= nowMs;

/**
 * Whether the copy is worth a try after the run was lost: nothing better is left then. An engine in
 * a withdrawn data centre gets no request, also none that goes on.
 */
export const isLastResort = (standby: Standby, withdrawn: ReadonlySet<string>): boolean =>
  standby.holder.goneAtMs === undefined && !withdrawn.has(standby.holder.upstream.dataCentre);
