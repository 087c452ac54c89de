/** What a gateway process is told at its start and at each reload. Times are in milliseconds. */
export interface GatewaySettings {
  readonly node: string;
  readonly dataCentre: string;
  /** Addresses to listen at, as IP:PORT. */
  readonly listen: {
    readonly caller: string;
    readonly ready: string;
    readonly directory: string;
    readonly metrics?: string;
    /** For the other nodes. */
    readonly nodes: string;
  };
  readonly memoryBytes: number;
  /** Processor cores that the process may use. */
  readonly capacity: number;
  /** Time from the order to stop until the process is killed. */
  readonly graceMs: number;
  /** How long callers may keep an answer of the directory. */
  readonly directoryLifeMs: number;
  /** Time after which a node that isn't heard of is left out of the directory. */
  readonly nodeLeaseMs: number;
  /** Within this time of the store's return, lapsed registrations are written again. */
  readonly registrationReturnMs: number;
  readonly retries: {
    readonly ratio: number;
    readonly extra: number;
    readonly windowMs: number;
  };
  /** A cold upstream may get this many times its stated rate, plus `coldSlack`, over all nodes. */
  readonly coldExcess: number;
  readonly coldSlack: number;
}
