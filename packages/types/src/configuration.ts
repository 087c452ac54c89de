import type {
  ClientAccountId,
  DataCentreId,
  Milliseconds,
  ModelId,
  MoveId,
  OperationId,
  RegionId,
  Revision,
  ServiceId,
  UpstreamId,
  VersionId,
} from './ids.js';

export interface DataCentre {
  readonly id: DataCentreId;
  readonly region: RegionId;
  readonly state: 'in-service' | 'withdrawn';
}

/** Each service class has its own queue, so that a lookup never waits behind a generation. */
export type ServiceClass = 'lookup' | 'call' | 'short-generation' | 'long-generation';

export interface Operation {
  readonly name: string;
  readonly idempotent: boolean;
}

export interface Service {
  readonly id: ServiceId;
  readonly kind: 'generation' | 'plain';
  readonly class: ServiceClass;
  /** Only for a generation service. */
  readonly model?: ModelId;
  /** The version that serves all traffic while no move is running. */
  readonly version: VersionId;
  /** Only a plain service has operations. */
  readonly operations: readonly Operation[];
  /** Deadline for the first token of a generation, or for the response to a plain call. */
  readonly firstAnswerDeadlineMs: Milliseconds;
}

export interface Version {
  readonly id: VersionId;
  readonly service: ServiceId;
}

export interface UpstreamCapacity {
  /** Maximum number of requests in flight. */
  readonly slots: number;
  /** Memory for prompts and generated tokens, in tokens; 0 for a plain service. */
  readonly memoryTokens: number;
}

export interface Upstream {
  readonly id: UpstreamId;
  readonly kind: 'engine' | 'plain';
  readonly dataCentre: DataCentreId;
  readonly host: string;
  readonly port: number;
  readonly services: readonly ServiceId[];
  readonly version: VersionId;
  readonly capacity: UpstreamCapacity;
  /** Maximum number of requests in flight while the upstream is cold. */
  readonly coldSlots: number;
  readonly refusesOldFencingTokens: boolean;
  /** Sent with each order, for upstreams that authenticate orders. */
  readonly orderCredential?: string;
  readonly state: 'in-service' | 'leaving';
}

/** A planned move of a service's traffic between two versions. Times are on the wall clock. */
export interface Move {
  readonly id: MoveId;
  readonly service: ServiceId;
  readonly fromVersion: VersionId;
  readonly toVersion: VersionId;
  readonly startAt: Milliseconds;
  readonly deadlineAt: Milliseconds;
  readonly state: 'planned' | 'done' | 'taken-back';
  /** Why the move was taken back or how it ended. */
  readonly reason?: string;
}

export interface ClientAccount {
  readonly id: ClientAccountId;
  /** SHA-256 of the account's secret, in hexadecimal. */
  readonly secretHash: string;
  /** Relative share of a service's capacity that the account gets under load. */
  readonly weight: number;
  readonly maxOpenStreams: number;
}

/** The whole configuration at one revision. */
export interface Configuration {
  readonly revision: Revision;
  readonly dataCentres: Readonly<Record<DataCentreId, DataCentre>>;
  readonly services: Readonly<Record<ServiceId, Service>>;
  readonly versions: Readonly<Record<VersionId, Version>>;
  readonly upstreams: Readonly<Record<UpstreamId, Upstream>>;
  readonly moves: Readonly<Record<MoveId, Move>>;
  readonly clientAccounts: Readonly<Record<ClientAccountId, ClientAccount>>;
}

export const emptyConfiguration: Configuration = {
  revision: 0,
  dataCentres: {},
  services: {},
  versions: {},
  upstreams: {},
  moves: {},
  clientAccounts: {},
};

export type Change =
  | { readonly kind: 'put-data-centre'; readonly dataCentre: DataCentre }
  | { readonly kind: 'withdraw-data-centre'; readonly id: DataCentreId }
  | { readonly kind: 'return-data-centre'; readonly id: DataCentreId }
  | { readonly kind: 'put-service'; readonly service: Service }
  | { readonly kind: 'put-version'; readonly version: Version }
  | { readonly kind: 'put-upstream'; readonly upstream: Upstream }
  | { readonly kind: 'remove-upstream'; readonly id: UpstreamId }
  | { readonly kind: 'put-client-account'; readonly clientAccount: ClientAccount }
  | { readonly kind: 'start-move'; readonly move: Move }
  | {
      readonly kind: 'end-move';
      readonly id: MoveId;
      readonly outcome: 'done' | 'taken-back';
      readonly reason: string;
    };

/** Changes that are applied atomically. */
export interface ChangeSet {
  readonly operationId: OperationId;
  readonly changes: readonly Change[];
}

/** A change set with the revision that it was committed as. */
export interface CommittedChangeSet extends ChangeSet {
  readonly revision: Revision;
}

/** A withdrawal of a data centre that takes effect before the store has accepted it. */
export interface ProvisionalWithdrawal {
  readonly dataCentre: DataCentreId;
  readonly operationId: OperationId;
  /** On the wall clock of the operator process that issued it. */
  readonly issuedAt: Milliseconds;
}
