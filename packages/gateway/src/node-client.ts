import type { CallerRequest, PassedOnMark } from './caller-request.js';
import type { Exchange, ExchangeEvents } from './upstream-client.js';

/** One request of a caller, to be sent to another node as if it came from the caller. */
export interface NodeRequest {
  /** Address of the node for callers, as IP:PORT. */
  readonly address: string;
  readonly request: CallerRequest;
  readonly body: Buffer;
  /** Time until the deadline of the caller. */
  readonly remainingMs: number;
  readonly mark: PassedOnMark;
}

/** Client for the addresses of other nodes for callers. */
export interface NodeClient {
  /** The other node takes the close of an aborted exchange for its caller leaving. */
  readonly send: (send: NodeRequest, events: ExchangeEvents) => Exchange;
  /** Closes idle connections to all other addresses. */
  readonly closeIdleExcept: (addresses: ReadonlySet<string>) => void;
  readonly close: () => void;
}
