import { initialScalingState, type ScalingState } from '@zinniagrade/duties';
import { scaleSubject } from './duty-acts.js';

/** A service in one data centre, for which one node at a time orders upstreams. */
export interface ScalingSubject {
  readonly name: string;
  readonly service: string;
  readonly dataCentre: string;
  state: ScalingState;
  /** When an upstream of the service was last seen in the data centre. */
  seenAtMs: number;
  isSending: boolean;
  /** Failed calls in a row. */
  failures: number;
  nextCallAtMs: number;
  /** Whether this node takes part in holding the subject. */
  isOffered: boolean;
}

export const createSubject = (
  service: string,
  dataCentre: string,
  nowMs: number,
): ScalingSubject => ({
  name: scaleSubject(service, dataCentre),
  service,
  dataCentre,
  state: initialScalingState,
  seenAtMs: nowMs,
  isSending: false,
  failures: 0,
  nextCallAtMs: 0,
  isOffered: false,
});
