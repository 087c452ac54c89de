import type { ServerResponse } from 'node:http';
import type { Clock, Random } from '@zinniagrade/clock';
import type { Failure } from '@zinniagrade/errors';
import type { ClientAccount, FleetMember, Route, Service, UpstreamUse } from '@zinniagrade/serving';
import type { BodyMemory } from './bounded-body.js';
import type { CallerRequest } from './caller-request.js';
import type { DemandSharing } from './demand-sharing.js';
import type { GenerationQueues } from './generation-queues.js';
import type { Log } from './log.js';
import type { MemoryGate } from './memory-gate.js';
import type { MemoryLimits } from './memory-limits.js';
import type { Metrics } from './metrics.js';
import type { NodeRelay } from './node-relay.js';
import type { RequestDeadline } from './request-deadline.js';
import type { RequestGuard } from './request-guard.js';
import type { Rollouts } from './rollouts.js';
import type { ServiceReach } from './service-reach.js';
import type { ServiceRecord } from './service-records.js';
import type { SharedLoads } from './shared-loads.js';
import type { UnreadResponses } from './unread-responses.js';
import type { UpstreamClient } from './upstream-client.js';
import type { UpstreamStatements } from './upstream-statements.js';
import type { ClusterState } from './cluster-state.js';

/** Dependencies for serving a request, shared by all requests of the process. */
export interface ServingContext {
  /** Data centre of this node. */
  readonly dataCentre: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly log: Log;
  readonly metrics: Metrics;
  readonly cluster: ClusterState;
  readonly client: UpstreamClient;
  readonly limits: MemoryLimits;
  /** Bounds what is held for peers by the memory that the process uses. */
  readonly memory: MemoryGate;
  /** Responses that callers have not read yet. */
  readonly unread: UnreadResponses;
  /** Memory of all responses that are buffered. */
  readonly responseMemory: BodyMemory;
  /** Retry budget and statistics that this node keeps for a service. */
  readonly recordOf: (service: string) => ServiceRecord;
  /** Whether generations wait in `queues`, or look for room by themselves. */
  readonly queuesGenerations: boolean;
  /** Generations that wait for memory of engines. */
  readonly queues: GenerationQueues;
  /** What waits for engines at all nodes, and when refused requests may come back. */
  readonly demand: Pick<DemandSharing, 'expectedWaitMs' | 'promiseReturn'>;
  readonly nodeCount: () => number;
  /** Whether the cold-start limit and the stated limit of this upstream allow one more request. */
  readonly isWithinRateLimits: (member: FleetMember) => boolean;
  /** What upstreams state of themselves in their responses. */
  readonly statements: UpstreamStatements;
  /** Shifts of services' traffic to other versions. */
  readonly rollouts: Rollouts;
  /** Requests that crash upstreams. */
  readonly guard: RequestGuard;
  /** Requests and memory that other nodes use at an upstream. */
  readonly peerUse: (upstream: string) => UpstreamUse;
  /** Whether nodes share what they measure of upstreams, and decide by it. */
  readonly sharesSpeeds: boolean;
  /** Loads that plain upstreams state in their responses. */
  readonly serviceLoads: Pick<SharedLoads, 'onStated'> | undefined;
  /** Placements of a service by other nodes that this node does not know of yet. */
  readonly unknownPlacements: (service: string) => number;
  /** To be called after the set of this node's requests at upstreams has changed. */
  readonly onUseChanged: () => void;
  /**
   * Delay before this node acts on an event that all nodes learn of at once, so that nodes act in
   * turn.
   */
  readonly turnDelayMs: () => number;
  /** Which services this node and others reach. */
  readonly reach: ServiceReach;
  /** Passes requests on to nodes that reach a service which this node doesn't. */
  readonly relay: NodeRelay;
  /** To be called when an upstream has begun to run a request; repeats don't count. */
  readonly countBegun?: (call: Call) => void;
  /** Whether this node is shutting down. */
  readonly isLeaving: () => boolean;
  /** Whether a call certainly ends before this node does; false only while the node shuts down. */
  readonly canFinish: (call: Pick<Call, 'callerDeadlineAtMs'>) => boolean;
}

/** A routed request with its complete body, whose caller is waiting for the response. */
export interface Call {
  readonly request: CallerRequest;
  readonly body: Buffer;
  readonly response: ServerResponse;
  readonly route: Route;
  readonly service: Service;
  readonly account?: ClientAccount;
  /** The same for all requests of a client account with this method, host, path, prompt and body. */
  readonly fingerprint: string;
  /** Id of the event after which the caller resumes a stream; undefined for its start. */
  readonly resumeAfter?: string;
  /** Whether the request may be sent to an upstream of this version. */
  readonly allowsVersionOf: (member: FleetMember) => boolean;
  readonly arrivedAtMs: number;
  /** Time at which the caller stops waiting. */
  readonly callerDeadlineAtMs: number;
  /** When the call ends unanswered; versions that raise the route's time-out move it. */
  readonly deadline: Pick<RequestDeadline, 'atMs' | 'timeoutMs' | 'onReached'>;
  /** Ends the call with an error of the gateway. Has no effect after the call has ended. */
  readonly fail: (failure: Failure) => void;
  /** Ends the call after its response was sent to the caller. */
  readonly finish: (outcome: string) => void;
  readonly isEnded: () => boolean;
  /** Calls the listener once, when the call ends for any reason; at once if it has ended. */
  readonly onEnded: (listener: () => void) => void;
}
