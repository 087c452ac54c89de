/** Right of this node to act for a subject. */
export interface DutyGrant {
  /** Fencing token, which increases when the holder changes. */
  readonly token: number;
  /** Whether the grant certainly lasts longer than a call that may take `callMs`. */
  readonly mayAct: (callMs: number) => boolean;
}

/** Holds subjects, each of which one node at a time acts for. */
export interface DutyHolder {
  /** Takes part in holding this subject from now on. */
  readonly offer: (subject: string) => void;
  readonly withdraw: (subject: string) => void;
  /** The grant of this node, undefined while another node or none holds the subject. */
  readonly grantOf: (subject: string) => DutyGrant | undefined;
  /** Called when this node gains or loses a subject. */
  readonly onChange: (listener: (subject: string) => void) => void;
  readonly shutDown: () => Promise<void>;
}

/**
 * `refused`: the platform did not take the call; `unknown`: it may have taken it; `not-sent`: no
 * part of the call has left this node.
 */
export type DutyOutcome = 'done' | 'refused' | 'unknown' | 'not-sent';

/** Sends the calls of duties to the platform. */
export interface DutyClient {
  readonly reportUsage: (
    grant: DutyGrant,
    window: number,
    counts: ReadonlyMap<string, number>,
  ) => Promise<DutyOutcome>;
  readonly orderUpstreams: (
    grant: DutyGrant,
    order: { readonly service: string; readonly dataCentre: string; readonly count: number },
  ) => Promise<DutyOutcome>;
  readonly close: () => void;
}
