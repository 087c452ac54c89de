import type { Clock, Random } from '@zinniagrade/clock';
import {
  WaitingQueue,
  type RoomAhead,
  type WaitingAttempt,
  type WaitingRequest,
} from '@zinniagrade/serving';
import type { AccountSharing } from './account-sharing.js';
import type { WaitingHere } from './demand-rows.js';
import type { DemandSharing } from './demand-sharing.js';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';

/** A generation that is to start as soon as it has memory and its turn. */
export interface QueuedGeneration {
  /** Id for log lines, which callers choose. */
  readonly requestId: string;
  readonly request: Omit<WaitingRequest, 'id'>;
  /** Starts or refuses the generation, or lets it wait. */
  readonly attempt: (ahead: RoomAhead) => WaitingAttempt;
  /** Ends the generation if it still waits at `waitUntilMs`, or if the queue is full. */
  readonly giveUp: () => void;
  readonly waitUntilMs: number;
  readonly maxWaitMs: number;
  /** Whether requests of the service differ in priority. */
  readonly hasPriority: boolean;
  readonly onEnded: (listener: () => void) => void;
}

/** The queues of all services at this node; see `WaitingQueue` for the order. */
export interface GenerationQueues {
  /** Attempts to start the generation in its turn, and lets it wait if that fails. */
  readonly add: (service: string, generation: QueuedGeneration) => void;
  /** What waits for a service at this node. */
  readonly waitingFor: (service: string) => Iterable<WaitingHere>;
  /** To be called when engines may have more room than before. */
  readonly wake: () => void;
  /** Records memory that a started generation of a client account takes. */
  readonly recordUse: (service: string, account: string, tokens: number) => void;
  readonly stop: () => void;
}

export type DemandOfOthers = Pick<
  DemandSharing,
  'onWaitingChanged' | 'recordArrival' | 'recordFreed' | 'tokensAhead' | 'urgentRoom'
>;

interface ServiceQueue {
  readonly queue: WaitingQueue;
  readonly generations: Map<string, QueuedGeneration>;
  isServing: boolean;
}

/** A node gets few generations a second, and each waits for seconds at most. */
const maxQueueLength = 256;
/**
 * Changes come with each event of any node. Looking at most this often bounds the processor time,
 * and is short against the time that an announcement takes.
 */
const minServeIntervalMs = 20;
/** For room that appears without a message, as when the time to avoid an engine is over. */
const fallbackIntervalMs = 250;

export const GenerationQueues = {
  create: (
    clock: Clock,
    random: Random,
    log: Log,
    metrics: Metrics,
    demand: () => DemandOfOthers,
    accounts: () => Omit<AccountSharing, 'stop'>,
  ): GenerationQueues => {
    const services = new Map<string, ServiceQueue>();
    let isScheduled = false;
    let waiting = 0;
    let nextId = 0;

    const queueOf = (service: string): ServiceQueue => {
      const known = services.get(service);
      if (known !== undefined) {
        return known;
      }
      const created: ServiceQueue = {
        queue: WaitingQueue.create(maxQueueLength, (account) =>
          accounts().tokensOf(service, account),
        ),
        generations: new Map(),
        isServing: false,
      };
      services.set(service, created);
      return created;
    };

    const updateLength = (name: string, { queue }: ServiceQueue): void => {
      metrics.setQueueLength(name, queue.length());
      waiting = 0;
      for (const service of services.values()) {
        waiting += service.queue.length();
      }
    };

    const addOtherNodes = (name: string, request: WaitingRequest, ahead: RoomAhead): RoomAhead => {
      const others = demand();
      return {
        ...ahead,
        tokens:
          ahead.tokens +
          others.tokensAhead(name, request, (account) => accounts().stepOf(name, account)),
        urgentRoom: others.urgentRoom(name, request.priority),
      };
    };

    const serve = (name: string, service: ServiceQueue): void => {
      if (service.isServing) {
        return;
      }
      service.isServing = true;
      try {
        service.queue.serve(
          (request, ahead) =>
            service.generations.get(request.id)?.attempt(addOtherNodes(name, request, ahead)) ?? {
              kind: 'left',
              started: false,
            },
        );
      } finally {
        service.isServing = false;
        updateLength(name, service);
      }
    };

    const wake = (): void => {
      if (isScheduled || waiting === 0) {
        return;
      }
      isScheduled = true;
      // Nodes learn of a change at the same time; a random delay lets them know of each other's starts.
      clock.after(minServeIntervalMs * (0.5 + random() / 2), () => {
        isScheduled = false;
        for (const [name, service] of services) {
          if (service.queue.length() > 0) {
            serve(name, service);
          }
        }
      });
    };
    const stopFallback = clock.every(fallbackIntervalMs, wake);

    const add: GenerationQueues['add'] = (name, generation) => {
      const service = queueOf(name);
      const request: WaitingRequest = { ...generation.request, id: String(nextId) };
      nextId += 1;
      const queuedAtMs = clock.monotonicMs();
      let isWaiting = true;
      let hasWaited = false;
      const leave = (outcome: string): void => {
        if (!isWaiting) {
          return;
        }
        isWaiting = false;
        cancelGiveUp();
        service.queue.remove(request.id);
        service.generations.delete(request.id);
        updateLength(name, service);
        const waitedMs = clock.monotonicMs() - queuedAtMs;
        metrics.recordWait(name, outcome, waitedMs);
        if (hasWaited) {
          demand().onWaitingChanged(name);
          // Room that was saved up for this request may do for the next one.
          wake();
          log.decision('generation waited', {
            request: generation.requestId,
            service: name,
            priority: request.priority,
            isReturn: request.isReturn,
            outcome,
            waitedMs: Math.round(waitedMs),
            stillWaiting: service.queue.length(),
          });
        }
      };
      const cancelGiveUp = clock.after(Math.max(0, generation.waitUntilMs - queuedAtMs), () => {
        leave('gave-up');
        generation.giveUp();
      });
      service.generations.set(request.id, {
        ...generation,
        attempt: (ahead) => {
          const attempt = generation.attempt(ahead);
          if (attempt.kind === 'left') {
            leave(attempt.started ? 'started' : 'refused');
          } else {
            hasWaited = true;
          }
          return attempt;
        },
        giveUp: () => {
          leave('queue-full');
          generation.giveUp();
        },
      });
      if (generation.hasPriority) {
        demand().recordArrival(name, request, generation.maxWaitMs);
      }
      const displaced = service.queue.add(request);
      if (displaced !== undefined) {
        service.generations.get(displaced.id)?.giveUp();
      }
      updateLength(name, service);
      generation.onEnded(() => {
        leave('caller-left');
      });
      if (service.isServing) {
        wake();
      } else {
        serve(name, service);
      }
      if (service.generations.has(request.id)) {
        demand().onWaitingChanged(name);
      }
    };

    return {
      add,
      waitingFor: function* (name) {
        const service = services.get(name);
        for (const request of service?.queue.requests() ?? []) {
          const waitUntilMs = service?.generations.get(request.id)?.waitUntilMs;
          if (waitUntilMs !== undefined) {
            yield { request, waitUntilMs };
          }
        }
      },
      wake,
      recordUse: (service, account, tokens) => {
        if (tokens < 0) {
          demand().recordFreed(service, -tokens);
        }
        accounts().add(service, account, tokens);
      },
      stop: stopFallback,
    };
  },
};
