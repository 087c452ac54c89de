import type { ServerResponse } from 'node:http';
import type { Clock, Random } from '@zinniagrade/clock';
import type { Failure } from '@zinniagrade/errors';
import type { ClientAccount, FleetMember, Route, Service, UpstreamUse } from '@zinniagrade/serving';
import type { CallerRequest } from './caller-request.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { Rollouts } from './rollouts.js';
import type { ServiceRecord } from './service-records.js';
import type { UpstreamClient } from './upstream-client.js';
import type { View } from './view.js';

/** What serving a request needs of the process. */
export interface ServingContext {
  /** Data centre of this node. */
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly view: View;
  readonly client: UpstreamClient;
  /** What this node has learned of a service. */
  readonly recordOf: (service: string) => ServiceRecord;
  readonly nodeCount: () => number;
  /** Whether a request more may go to this upstream, by its cold start. */
  readonly allows: (member: FleetMember) => boolean;
  /** Moves of services' traffic to other versions. */
  readonly rollouts: Rollouts;
  /** What the other nodes have at an upstream. */
  readonly peerUse: (upstream: string) => UpstreamUse;
  /** Called after this node's requests at upstreams have changed. */
  readonly useChanged: () => void;
  /** How long this node waits for others to act first on what all learn at once. */
  readonly turnMs: () => number;
  /** Time left until this process ends, while it is leaving. */
  readonly leavesInMs: () => number | undefined;
}

/** A request with a route, read whole, whose caller is waiting. */
export interface Call {
  readonly request: CallerRequest;
  readonly body: Buffer;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly service: Service;
  readonly account?: ClientAccount;
  /** Whether an upstream may get the request, by its version. */
  readonly permits: (member: FleetMember) => boolean;
  readonly arrivedAtMs: number;
  /** When the caller stops waiting. */
  readonly callerEndsAtMs: number;
  /** When the answer is due: the caller's end or the route's timeout, whichever is first. */
  readonly endsAtMs: number;
  /** Ends the call with a failure of the gateway. Only the first end counts. */
  readonly fail: (failure: Failure) => void;
  /** Notes that the answer was passed on. */
  readonly finish: (outcome: string) => void;
  readonly isOver: () => boolean;
  /** Called once when the call is over, for whatever reason. */
  readonly onOver: (listener: () => void) => void;
}
