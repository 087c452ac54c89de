/** Duties that one node does for all. */
export interface DutySettings {
  readonly kinds: ReadonlySet<'usage' | 'scale'>;
  /** TTL of the lease under which a node holds subjects. */
  readonly leaseMs: number;
  /** Calls a second that the platform takes from all nodes together. */
  readonly callsPerSecond?: number;
  /** Length of a window of usage. */
  readonly usageWindowMs?: number;
  /** Time after the end of a window in which its report has to arrive. */
  readonly usageLateMs?: number;
}

/**
 * Parts that change how nodes share load, each off unless the settings name it: queues of generations
 * that are ordered over all nodes, slow start of upstreams, and speeds that nodes share.
 */
export const loadFeatures = ['admission-queue', 'pace', 'shared-speeds'] as const;
export type LoadFeature = (typeof loadFeatures)[number];

/** Settings of a gateway process, read at its start and at each reload. */
export interface GatewaySettings {
  readonly node: string;
  readonly dataCentre: string;
  /** Listen addresses, as IP:PORT. */
  readonly listen: {
    readonly caller: string;
    readonly ready: string;
    readonly directory: string;
    readonly metrics?: string;
    /** For connections from other nodes. */
    readonly nodes: string;
  };
  readonly memoryBytes: number;
  /** Sockets that the process may have open at a time; not bounded if undefined. */
  readonly maxSockets?: number;
  /** Processor cores that the process may use. */
  readonly capacity: number;
  /** Time from the stop signal until the process is killed. */
  readonly graceMs: number;
  /** Time for which callers may cache a directory response. */
  readonly directoryTtlMs: number;
  /**
   * TTL of a node's registration; a node that stops renewing it is then left out of the directory.
   */
  readonly nodeLeaseMs: number;
  /** Time after a store outage within which expired registrations are written again. */
  readonly reregistrationWindowMs: number;
  /** Shortest store outage in which the registration of an upstream that is alive can expire. */
  readonly minExpiryOutageMs: number;
  /**
   * Time after which the store has removed registrations that a restore brought back, if nobody
   * renews them.
   */
  readonly restoredEntryLapseMs: number;
  readonly retries: {
    readonly ratio: number;
    readonly extra: number;
    readonly windowMs: number;
  };
  /**
   * All nodes together may send a cold upstream this many times its stated rate, plus `coldSlack`.
   */
  readonly coldExcess: number;
  readonly coldSlack: number;
  /** Load features that are on; none if undefined. */
  readonly loadFeatures?: ReadonlySet<LoadFeature>;
  /** Undefined if this deployment has no duties. */
  readonly duties?: DutySettings;
}
