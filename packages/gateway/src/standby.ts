import type { FleetMember } from '@zinniagrade/serving';
import type { RunCopy } from './upstream-client.js';

/** A copy of a run, and the engine at which the run can continue from it. */
export interface HeldCopy {
  readonly holder: FleetMember;
  readonly copy: RunCopy;
}

/** A copy of a running request at another engine, from which it can continue. */
export interface Standby extends HeldCopy {
  /** Time from which the copy is certain to have arrived. */
  readonly readyAtMs: number;
}

/** Whether a healthy run may be stopped to continue from the copy. */
export const canSwitchOver = (
  standby: Standby,
  withdrawn: ReadonlySet<string>,
  nowMs: number,
): boolean =>
  canRecover(standby, withdrawn, nowMs) && !standby.holder.leaving && standby.readyAtMs <= nowMs;

/**
 * Whether a lost run may continue from the copy, which may not have arrived yet. Engines in a withdrawn
 * data centre get no requests, not even continued ones, nor do those that have asked for none.
 */
export const canRecover = (
  { holder }: Standby,
  withdrawn: ReadonlySet<string>,
  nowMs: number,
): boolean =>
  holder.goneAtMs === undefined &&
  holder.waitUntilMs <= nowMs &&
  !withdrawn.has(holder.upstream.dataCentre);
