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
import { kindHeader, loadOperatorService, maxMessageBytes } from './operator-proto.js';
import type { Address } from './operator-settings.js';
import {
  type AgedConfiguration,
  configurationOfWire,
  type SectionName,
  type WireMessage,
  wireOfChange,
  type Write,
} from './wire.js';

/** An unary call gives up after this time; the write may then have taken effect. */
const callMs: Milliseconds = 20_000;

export interface OperatorStatus {
  readonly process: string;
  readonly storeReachable: boolean;
  readonly revision: number;
  /** -1 when the store has not confirmed any configuration yet. */
  readonly confirmedMsAgo: Milliseconds;
  readonly provisionalWithdrawals: readonly string[];
  readonly runningMoves: readonly MoveEvent[];
}

export type Answer<T> = Promise<Either<Failure, T>>;

export interface Subscription<T> {
  readonly onItem: (item: T) => void;
  /** Called once; without a failure when the stream came to its end. */
  readonly onEnd: (failure?: Failure) => void;
}

export type StartedMove = Pick<Move, 'id' | 'service' | 'toVersion' | 'startAt' | 'deadlineAt'> &
  Partial<Pick<Move, 'fromVersion'>>;

/** The operator interface, typed. A write that is repeated carries the same operation id. */
export interface OperatorClient {
  readonly apply: (write: Write, changes: readonly Change[]) => Answer<WriteResult>;
  readonly get: (section?: SectionName, id?: string) => Answer<AgedConfiguration>;
  readonly list: (section: SectionName) => Answer<AgedConfiguration>;
  readonly withdrawDataCentre: (write: Write, id: string) => Answer<WriteResult>;
  readonly returnDataCentre: (write: Write, id: string) => Answer<WriteResult>;
  readonly startMove: (write: Write, move: StartedMove) => Answer<WriteResult>;
  readonly takeBackMove: (write: Write, id: string, reason: string) => Answer<WriteResult>;
  readonly watchMoves: (ids: readonly string[], to: Subscription<MoveEvent>) => () => void;
  readonly followTimeline: (
    after: HybridTime | undefined,
    to: Subscription<TimelineEvent>,
  ) => () => void;
  readonly status: () => Answer<OperatorStatus>;
  readonly close: () => void;
}

const failureOf = (error: ServiceError): Failure => {
  const [kind] = (error.metadata as Metadata | undefined)?.get(kindHeader) ?? [];
  const known = kind?.toString();
  return Failure.create(
    known !== undefined && Object.hasOwn(errorResponses, known)
      ? (known as ErrorKind)
      : 'upstream-unreachable',
    error.details === '' ? error.message : error.details,
  );
};

type Method = (...args: readonly unknown[]) => unknown;
type Reply = (error: ServiceError | null, reply?: WireMessage) => void;

const wireOfWrite = ({ expectedRevision, operationId }: Write): WireMessage =>
  expectedRevision === undefined ? { operationId } : { operationId, expectedRevision };

const timelineEventOf = (wire: WireMessage): TimelineEvent => ({
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
    const methodOf = (name: string): Method => {
      const method = client[name] as Method;
      return method.bind(client);
    };

    const call = <T>(name: string, request: object, read: (reply: WireMessage) => T): Answer<T> =>
      new Promise((resolve) => {
        const done: Reply = (error, reply) => {
          resolve(error === null ? Right(read(reply ?? {})) : Left(failureOf(error)));
        };
        methodOf(name)(request, metadata, { deadline: Date.now() + callMs }, done);
      });

    const stream = <T>(
      name: string,
      request: object,
      read: (wire: WireMessage) => T,
      { onEnd, onItem }: Subscription<T>,
    ): (() => void) => {
      const source = methodOf(name)(request, metadata) as ClientReadableStream<WireMessage>;
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
        end(failureOf(error as ServiceError));
      });
      source.on('end', () => {
        // An error follows the end of a stream that failed.
        setImmediate(end);
      });
      return () => {
        ended = true;
        source.cancel();
      };
    };

    const asWritten = (reply: WireMessage): WriteResult => reply as unknown as WriteResult;
    return {
      apply: (write, changes) =>
        call('apply', { write: wireOfWrite(write), changes: changes.map(wireOfChange) }, asWritten),
      get: (section, id) =>
        call('get', { section: section ?? '', id: id ?? '' }, configurationOfWire),
      list: (section) => call('list', { section }, configurationOfWire),
      withdrawDataCentre: (write, id) =>
        call('withdrawDataCentre', { write: wireOfWrite(write), id }, asWritten),
      returnDataCentre: (write, id) =>
        call('returnDataCentre', { write: wireOfWrite(write), id }, asWritten),
      startMove: (write, move) => call('startMove', { write: wireOfWrite(write), move }, asWritten),
      takeBackMove: (write, id, reason) =>
        call('takeBackMove', { write: wireOfWrite(write), id, reason }, asWritten),
      watchMoves: (ids, to) =>
        stream('watchMoves', { ids }, (wire) => wire as unknown as MoveEvent, to),
      followTimeline: (after, to) =>
        stream('followTimeline', after === undefined ? {} : { after }, timelineEventOf, to),
      status: () => call('status', {}, (reply) => reply as unknown as OperatorStatus),
      close: () => {
        client.close();
      },
    };
  },
};
