import {
  type handleServerStreamingCall,
  type handleUnaryCall,
  Metadata,
  Server,
  ServerCredentials,
  type ServerWritableStream,
  type ServiceError,
} from '@grpc/grpc-js';
import type { Clock } from '@zinniagrade/clock';
import { errorResponses, Failure } from '@zinniagrade/errors';
import type { Platform } from '@zinniagrade/platform';
import type { Logger } from '@zinniagrade/logger';
import type { MovePhase } from '@zinniagrade/moves';
import { type EventSender, followTimeline } from '@zinniagrade/timeline';
import type { Milliseconds } from '@zinniagrade/types';
import { type Either, Left, Right } from 'purify-ts';
import { authenticate } from './authenticate.js';
import { ConfigurationCache } from './configuration-cache.js';
import { hasEnded, changedMoveEvents } from './move-events.js';
import { Operations, type WriteResult } from './operations.js';
import { errorKindMetadataKey, loadOperatorService, maxMessageBytes } from './operator-proto.js';
import type { OperatorSettings } from './operator-settings.js';
import { ProvisionalWithdrawals } from './provisional-withdrawals.js';
import { createNodeNotifier } from './node-notifier.js';
import { readConfigurationPart } from './read-configuration-part.js';
import { type WireMessage, configurationToWire, type Write, parseWrite } from './wire.js';

const moveCheckIntervalMs: Milliseconds = 250;

export interface OperatorServer {
  readonly port: number;
  readonly close: () => Promise<void>;
}

export interface OperatorServerOptions {
  readonly settings: OperatorSettings;
  readonly platform: Pick<Platform, 'store'>;
  readonly clock: Clock;
  readonly logger: Logger;
  /** Emits timeline events. */
  readonly emit?: EventSender['emit'];
}

const serviceError = ({ detail, kind }: Failure): ServiceError => {
  const metadata = new Metadata();
  metadata.set(errorKindMetadataKey, kind);
  const fields: object = { code: errorResponses[kind].grpcCode, details: detail, metadata };
  return Object.assign(new Error(detail), fields) as ServiceError;
};

const authorizationHeader = (metadata: Metadata): string | undefined => {
  const [value] = metadata.get('authorization');
  return value?.toString();
};

type UnaryHandler = (request: WireMessage, operator: string) => Promise<Either<Failure, object>>;
type StreamCall = ServerWritableStream<WireMessage, object>;

const bind = (server: Server, { host, port }: OperatorSettings['listen']): Promise<number> =>
  new Promise((resolve, reject) => {
    server.bindAsync(`${host}:${port}`, ServerCredentials.createInsecure(), (error, boundPort) => {
      if (error === null) {
        resolve(boundPort);
      } else {
        reject(error);
      }
    });
  });

/** Streams the phases of moves until all named moves have ended or the client cancels. */
const watchMoves = (
  call: StreamCall,
  configurationCache: ConfigurationCache,
  clock: Clock,
): void => {
  const ids = (call.request.ids ?? []) as readonly string[];
  const reportedPhases = new Map<string, MovePhase>();
  const check = (): void => {
    const cached = configurationCache.current();
    const missing = ids.find((id) => !Object.hasOwn(cached.configuration.moves, id));
    if (missing !== undefined && cached.storeReachable && !reportedPhases.has(missing)) {
      stop();
      call.emit('error', serviceError(Failure.create('not-found', `move "${missing}" not found`)));
      return;
    }
    for (const event of changedMoveEvents(cached, ids, reportedPhases, clock.wallMs())) {
      reportedPhases.set(event.move.id, event.phase);
      call.write(event);
    }
    if (ids.length > 0 && ids.every((id) => hasEnded(reportedPhases.get(id) ?? 'waiting'))) {
      stop();
      call.end();
    }
  };
  const stop = clock.every(moveCheckIntervalMs, check);
  call.on('cancelled', stop);
  // A move that has just been started is in the store, but may not be in the cache yet.
  void configurationCache.read().then(check);
};

const streamTimeline = (call: StreamCall, { name, secret, timeline }: OperatorSettings): void => {
  if (timeline === undefined) {
    const failure = Failure.create('not-found', 'no timeline collector in the settings');
    call.emit('error', serviceError(failure));
    return;
  }
  const after = call.request.after as { wallMs: number; counter: number } | null | undefined;
  const subscription = followTimeline({
    address: timeline,
    secret,
    name: `${name}-follower`,
    after: after ?? undefined,
    onEvent: (event) => {
      call.write({ ...event, fields: JSON.stringify(event.fields) });
    },
    onClose: (failure) => {
      const detail = `timeline stream ended: ${failure?.detail ?? 'closed by the collector'}`;
      call.emit('error', serviceError(Failure.create('store-unavailable', detail)));
    },
  });
  call.on('cancelled', subscription.close);
};

export const OperatorServer = {
  /** Listens; rejects when the port is in use. */
  create: async (options: OperatorServerOptions): Promise<OperatorServer> => {
    const { clock, logger, platform, settings } = options;
    const { store } = platform;
    const configurationCache = ConfigurationCache.create(store, clock);
    const notifyNodes = createNodeNotifier(settings.nodeLinks, settings, clock);
    const provisional = ProvisionalWithdrawals.create({ store, notifyNodes, clock, logger });
    const operations = Operations.create({
      store,
      configurationCache,
      provisional,
      notifyNodes,
      clock,
    });

    const unaryHandler =
      (run: UnaryHandler): handleUnaryCall<WireMessage, object> =>
      (call, callback) => {
        authenticate(authorizationHeader(call.metadata), settings.credentials).caseOf({
          Left: (failure) => {
            callback(serviceError(failure));
          },
          Right: (operator) => {
            run(call.request, operator)
              .catch((error: unknown) => Left(Failure.create('internal', String(error))))
              .then((result: Either<Failure, object>) => {
                result.caseOf({
                  Left: (failure) => {
                    callback(serviceError(failure));
                  },
                  Right: (reply) => {
                    callback(null, reply);
                  },
                });
              })
              .catch((error: unknown) => {
                logger.error('could not send reply', { detail: String(error) });
              });
          },
        });
      };

    const writeHandler = (
      run: (write: Write, request: WireMessage) => Promise<Either<Failure, WriteResult>>,
    ): handleUnaryCall<WireMessage, object> =>
      unaryHandler((request, operator) =>
        parseWrite(request).caseOf<Promise<Either<Failure, object>>>({
          Left: (failure) => Promise.resolve(Left(failure)),
          Right: async (write) => {
            const result = await run(write, request);
            result.ifRight(({ provisional: isProvisional, revision }) => {
              const { operationId } = write;
              const fields = { operator, operationId, revision, provisional: isProvisional };
              options.emit?.('write-accepted', fields);
            });
            return result;
          },
        }),
      );

    const streamHandler =
      (run: (call: StreamCall) => void): handleServerStreamingCall<WireMessage, object> =>
      (call) => {
        authenticate(authorizationHeader(call.metadata), settings.credentials).caseOf({
          Left: (failure) => {
            call.emit('error', serviceError(failure));
          },
          Right: () => {
            run(call);
          },
        });
      };

    const readPart = async ({
      id = '',
      section = '',
    }: WireMessage): Promise<Either<Failure, object>> => {
      const current = await configurationCache.read();
      return current
        .chain((aged) => readConfigurationPart(aged, String(section), String(id)))
        .map(configurationToWire);
    };

    const status: UnaryHandler = () => {
      const { configuration, confirmedAtWall, storeReachable } = configurationCache.current();
      const now = clock.wallMs();
      const events = changedMoveEvents(configurationCache.current(), [], new Map(), now);
      return Promise.resolve(
        Right({
          process: settings.name,
          storeReachable,
          revision: configuration.revision,
          confirmedMsAgo: confirmedAtWall === undefined ? -1 : now - confirmedAtWall,
          provisionalWithdrawals: provisional.list(),
          runningMoves: events.filter(({ phase }) => !hasEnded(phase)),
        }),
      );
    };

    const server = new Server({
      'grpc.max_receive_message_length': maxMessageBytes,
      'grpc.max_send_message_length': maxMessageBytes,
    });
    server.addService(loadOperatorService().service, {
      apply: writeHandler((write, { changes }) =>
        operations.apply(write, (changes ?? []) as readonly WireMessage[]),
      ),
      get: unaryHandler(readPart),
      list: unaryHandler((request) =>
        request.section === ''
          ? Promise.resolve(Left(Failure.create('invalid-request', 'section: expected a name')))
          : readPart(request),
      ),
      withdrawDataCentre: writeHandler((write, { id }) =>
        operations.withdrawDataCentre(write, String(id)),
      ),
      returnDataCentre: writeHandler((write, { id }) =>
        operations.returnDataCentre(write, String(id)),
      ),
      startMove: writeHandler((write, { move }) =>
        operations.startMove(write, (move ?? {}) as WireMessage),
      ),
      takeBackMove: writeHandler((write, { id, reason }) =>
        operations.takeBackMove(write, String(id), String(reason)),
      ),
      watchMoves: streamHandler((call) => {
        watchMoves(call, configurationCache, clock);
      }),
      followTimeline: streamHandler((call) => {
        streamTimeline(call, settings);
      }),
      status: unaryHandler(status),
    });
    const port = await bind(server, settings.listen);
    return {
      port,
      close: () => {
        configurationCache.close();
        provisional.close();
        server.forceShutdown();
        return Promise.resolve();
      },
    };
  },
};
