import { type ClientReadableStream, credentials, Metadata, type ServiceError } from '@grpc/grpc-js';
import { errorResponses, Failure } from '@zinniagrade/errors';
import type {
  Change,
  ErrorKind,
  HybridTime,
  Milliseconds,
  Move,
  TimelineEvent,
} from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';
import type { MoveEvent } from './move-events.js';
import type { WriteResult } from './operations.js';
import { errorKindMetadataKey, loadOperatorService, maxMessageBytes } from './operator-proto.js';
import type { Address } from './operator-settings.js';
import {
  type ConfigurationSnapshot,
  configurationFromWire,
  type SectionName,
  type WireMessage,
  changeToWire,
  type Write,
} from './wire.js';

/** Timeout of a unary call; a write may have taken effect nevertheless. */
const callTimeoutMs: Milliseconds = 20_000;

export interface OperatorStatus {
  readonly process: string;
  readonly storeReachable: boolean;
  readonly revision: number;
  /** -1 if the store has not confirmed a configuration yet. */
  readonly confirmedMsAgo: Milliseconds;
  readonly provisionalWithdrawals: readonly string[];
  readonly runningMoves: readonly MoveEvent[];
}

export type ClientResult<T> = Promise<Either<Failure, T>>;

export interface Subscription<T> {
  readonly onItem: (item: T) => void;
  /** Called at most once; without a failure when the stream has ended normally. */
  readonly onEnd: (failure?: Failure) => void;
}

export type MoveRequest = Pick<Move, 'id' | 'service' | 'toVersion' | 'startAt' | 'deadlineAt'> &
  Partial<Pick<Move, 'fromVersion'>>;

/** Typed client of the operator interface. A retried write carries the same operation id. */
export interface OperatorClient {
  readonly apply: (write: Write, changes: readonly Change[]) => ClientResult<WriteResult>;
  readonly get: (section?: SectionName, id?: string) => ClientResult<ConfigurationSnapshot>;
  readonly list: (section: SectionName) => ClientResult<ConfigurationSnapshot>;
  readonly withdrawDataCentre: (write: Write, id: string) => ClientResult<WriteResult>;
  readonly returnDataCentre: (write: Write, id: string) => ClientResult<WriteResult>;
  readonly startMove: (write: Write, move: MoveRequest) => ClientResult<WriteResult>;
  readonly takeBackMove: (write: Write, id: string, reason: string) => ClientResult<WriteResult>;
  readonly watchMoves: (
    ids: readonly string[],
    subscription: Subscription<MoveEvent>,
  ) => () => void;
  readonly followTimeline: (
    after: HybridTime | undefined,
    subscription: Subscription<TimelineEvent>,
  ) => () => void;
  readonly status: () => ClientResult<OperatorStatus>;
  readonly close: () => void;
}

const toFailure = (error: ServiceError): Failure => {
  const [kind] = (error.metadata as Metadata | undefined)?.get(errorKindMetadataKey) ?? [];
  const knownKind = kind?.toString();
  return Failure.create(
    knownKind !== undefined && Object.hasOwn(errorResponses, knownKind)
      ? (knownKind as ErrorKind)
      : 'upstream-unreachable',
    error.details === '' ? error.message : error.details,
  );
};

type Method = (...args: readonly unknown[]) => unknown;
type Reply = (error: ServiceError | null, reply?: WireMessage) => void;

const writeToWire = ({ expectedRevision, operationId }: Write): WireMessage =>
  expectedRevision === undefined ? { operationId } : { operationId, expectedRevision };

const timelineEventFromWire = (wire: WireMessage): TimelineEvent => ({
  ...(wire as unknown as Omit<TimelineEvent, 'fields'>),
  fields: JSON.parse(String(wire.fields)) as TimelineEvent['fields'],
});

export const OperatorClient = {
  /** Connects at the first call. */
  create: ({ host, port }: Address, token: string): OperatorClient => {
    const client = new (loadOperatorService())(`${host}:${port}`, credentials.createInsecure(), {
      'grpc.max_receive_message_length': maxMessageBytes,
      'grpc.max_send_message_length': maxMessageBytes,
    });
    const metadata = new Metadata();
    metadata.set('authorization', `Bearer ${token}`);
    const boundMethod = (name: string): Method => {
      const method = client[name] as Method;
      return method.bind(client);
    };

    const call = <T>(
      name: string,
      request: object,
      read: (reply: WireMessage) => T,
    ): ClientResult<T> =>
      new Promise((resolve) => {
        const onReply: Reply = (error, reply) => {
          resolve(error === null ? Right(read(reply ?? {})) : Left(toFailure(error)));
        };
        boundMethod(name)(request, metadata, { deadline: Date.now() + callTimeoutMs }, onReply);
      });

    const stream = <T>(
      name: string,
      request: object,
      read: (wire: WireMessage) => T,
      { onEnd, onItem }: Subscription<T>,
    ): (() => void) => {
      const source = boundMethod(name)(request, metadata) as ClientReadableStream<WireMessage>;
      let ended = false;
      const end = (failure?: Failure): void => {
        if (!ended) {
          ended = true;
          onEnd(failure);
        }
      };
      source.on('data', (wire: WireMessage) => {
        onItem(read(wire));
      });
      source.on('error', (error) => {
        end(toFailure(error as ServiceError));
      });
      source.on('end', () => {
        // On failure, the error event follows the end event.
        setImmediate(end);
      });
      return () => {
        ended = true;
        source.cancel();
      };
    };

    const toWriteResult = (reply: WireMessage): WriteResult => reply as unknown as WriteResult;
    return {
      apply: (write, changes) =>
        call(
          'apply',
          { write: writeToWire(write), changes: changes.map(changeToWire) },
          toWriteResult,
        ),
      get: (section, id) =>
        call('get', { section: section ?? '', id: id ?? '' }, configurationFromWire),
      list: (section) => call('list', { section }, configurationFromWire),
      withdrawDataCentre: (write, id) =>
        call('withdrawDataCentre', { write: writeToWire(write), id }, toWriteResult),
      returnDataCentre: (write, id) =>
        call('returnDataCentre', { write: writeToWire(write), id }, toWriteResult),
      startMove: (write, move) =>
        call('startMove', { write: writeToWire(write), move }, toWriteResult),
      takeBackMove: (write, id, reason) =>
        call('takeBackMove', { write: writeToWire(write), id, reason }, toWriteResult),
      watchMoves: (ids, subscription) =>
        stream('watchMoves', { ids }, (wire) => wire as unknown as MoveEvent, subscription),
      followTimeline: (after, subscription) =>
        stream(
          'followTimeline',
          after === undefined ? {} : { after },
          timelineEventFromWire,
          subscription,
        ),
      status: () => call('status', {}, (reply) => reply as unknown as OperatorStatus),
      close: () => {
        client.close();
      },
    };
  },
};
