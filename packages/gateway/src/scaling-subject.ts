import { initialScalingState, type ScalingState } from '@zinniagrade/duties';

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
  /** Until this time the subject is left to other nodes; undefined if this node takes part. */
  leftUntilMs: number | undefined;
}

/** Name under which the subject is held. */
export const subjectName = (service: string, dataCentre: string): string =>
  `scale/${encodeURIComponent(service)}/${encodeURIComponent(dataCentre)}`;

export const createSubject = (
  service: string,
  dataCentre: string,
  nowMs: number,
): ScalingSubject => ({
  name: subjectName(service, dataCentre),
  service,
  dataCentre,
  state: initialScalingState,
  seenAtMs: nowMs,
  isSending: false,
  failures: 0,
  nextCallAtMs: 0,
  leftUntilMs: undefined,
});
