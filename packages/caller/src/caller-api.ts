import type { Failure } from '@zinniagrade/errors';
import type {
  ClientAccount,
  ClientAccountId,
  DataCentreId,
  GenerationId,
  Milliseconds,
  NodeId,
  ServiceId,
} from '@zinniagrade/types';
import type { Either } from 'purify-ts';

/** The address of a node that serves callers. */
export interface EntryAddress {
  readonly nodeId: NodeId;
  readonly host: string;
  readonly port: number;
  readonly dataCentre: DataCentreId;
}

/** The response to `GET /v1/address`. */
export interface AddressResponse {
  readonly addresses: readonly EntryAddress[];
  /** Time for which the caller may cache the response. */
  readonly holdMs: Milliseconds;
  /** Tickets owned by the node at the first address; each is valid for one call. */
  readonly idempotencyKeys: readonly string[];
}

/** A request for a generation. */
export interface GenerationRequest {
  readonly clientAccount: ClientAccountId;
  readonly service: ServiceId;
  readonly prompt: string;
  readonly maxTokens?: number | undefined;
  readonly priority?: number | undefined;
  /** Whether tokens already sent may be invalidated and replaced by a new generation. */
  readonly restart: boolean;
}

/** A request to a plain service. */
export interface CallRequest {
  readonly clientAccount: ClientAccountId;
  readonly service: ServiceId;
  readonly operation: string;
  readonly arguments: unknown;
  readonly idempotencyKey?: string | undefined;
}

/** Writes the events of one stream to its caller. Either `end` or `fail` is the last call. */
export interface StreamOutput {
  /** `line` is `{generation,index,text}` as JSON, with one character per byte of its UTF-8 form. */
  readonly token: (
    resumeToken: string,
    generation: GenerationId,
    index: number,
    line: string,
  ) => void;
  readonly restart: (generation: GenerationId) => void;
  readonly end: (generation: GenerationId, tokens: number) => void;
  readonly fail: (failure: Failure) => void;
  /** Sends the events written since the last flush. False if the caller reads too slowly. */
  readonly flush: () => boolean;
}

/** Events of the caller's connection that the relay of its stream has to handle. */
export interface StreamControl {
  /** The send buffer is empty again, so that the stream may go on. */
  readonly drained: () => void;
  /** The caller's connection closed before the stream ended. */
  readonly callerGone: () => void;
}

/** The operations that the HTTP server exposes to callers. */
export interface CallerApi {
  readonly clientAccount: (id: ClientAccountId) => ClientAccount | undefined;
  readonly addresses: (
    clientAccount: ClientAccountId,
    service: ServiceId,
  ) => Either<Failure, AddressResponse>;
  readonly generate: (request: GenerationRequest, output: StreamOutput) => StreamControl;
  readonly resume: (
    clientAccount: ClientAccountId,
    resumeToken: string,
    output: StreamOutput,
  ) => StreamControl;
  /** Stops the generation that the resume token names. */
  readonly cancel: (
    clientAccount: ClientAccountId,
    resumeToken: string,
  ) => Promise<Either<Failure, undefined>>;
  readonly call: (request: CallRequest) => Promise<Either<Failure, unknown>>;
  readonly status: () => unknown;
}
