import { Random, VirtualClock } from '@zinniagrade/clock';
import type { RoomAhead } from '@zinniagrade/serving';
import { expect } from 'chai';
import { GenerationQueues, type QueuedGeneration } from './generation-queues.js';
import { Log } from './log.js';
import { Metrics } from './metrics.js';

describe('generation queues', () => {
  const setUp = () => {
    const clock = VirtualClock.create();
    const metrics = Metrics.create();
    const queues = GenerationQueues.create(
      clock,
      Random.create(1),
      Log.createSilent(),
      metrics,
      () => ({
        onWaitingChanged: () => undefined,
        recordArrival: () => undefined,
        recordFreed: () => undefined,
        tokensAhead: () => tokensElsewhere,
        urgentRoom: () => ({ tokens: 0, tokensEach: 0, tokensPerMs: 0 }),
      }),
      () => ({ add: () => undefined, tokensOf: () => 0, stepOf: () => 0 }),
    );
    let tokensElsewhere = 0;
    const events: string[] = [];
    let room = 0;
    const leaveOf = new Map<string, () => void>();
    const add = (name: string, priority = 0): void => {
      const generation: QueuedGeneration = {
        requestId: name,
        request: {
          ...{ priority, isReturn: false, account: '', tokens: 10 },
          deadlineAtMs: clock.monotonicMs() + 10_000,
        },
        attempt: ({ tokens }: RoomAhead) => {
          if (room < tokens + 10) {
            return { kind: 'waits' };
          }
          room -= 10;
          events.push(`${name} starts`);
          return { kind: 'left', started: true };
        },
        giveUp: () => {
          events.push(`${name} gives up`);
        },
        maxWaitMs: 1000,
        hasPriority: false,
        waitUntilMs: clock.monotonicMs() + 1000,
        onEnded: (listener) => {
          leaveOf.set(name, listener);
        },
      };
      queues.add('text', generation);
    };
    return {
      clock,
      metrics,
      queues,
      events,
      add,
      leave: (name: string) => leaveOf.get(name)?.(),
      setTokensElsewhere: (tokens: number) => {
        tokensElsewhere = tokens;
      },
      setRoom: (tokens: number) => {
        room = tokens;
      },
    };
  };

  it('serves a request at once if there is room, and others when room appears', () => {
    const { clock, queues, events, add, setRoom } = setUp();
    setRoom(10);
    add('first');
    add('second');
    expect(events).to.deep.equal(['first starts']);
    setRoom(10);
    queues.wake();
    clock.advance(20);
    expect(events).to.deep.equal(['first starts', 'second starts']);
    expect(clock.pendingTimers()).to.equal(1);
  });

  it('looks for room again without a message after a while', () => {
    // The time to avoid an engine ends without a message.
    const { clock, events, add, setRoom } = setUp();
    add('first');
    setRoom(10);
    clock.advance(300);
    expect(events).to.deep.equal(['first starts']);
  });

  it('gives the place of a caller who leaves to the next request at once', async () => {
    // Guards against room that is saved up for callers who are gone.
    const { clock, metrics, queues, events, add, leave, setRoom } = setUp();
    add('first');
    add('second');
    leave('first');
    expect(await metrics.text()).to.contain('zinniagrade_queue_length{service="text"} 1');
    setRoom(10);
    queues.wake();
    clock.advance(20);
    expect(events).to.deep.equal(['second starts']);
  });

  it('leaves room to requests before it at other nodes', () => {
    const { clock, queues, events, add, setRoom, setTokensElsewhere } = setUp();
    setTokensElsewhere(10);
    setRoom(10);
    add('first');
    expect(events).to.deep.equal([]);
    setRoom(20);
    queues.wake();
    clock.advance(20);
    expect(events).to.deep.equal(['first starts']);
  });

  it('ends what has waited for too long', () => {
    const { clock, events, add, setRoom } = setUp();
    add('first');
    clock.advance(1001);
    setRoom(10);
    clock.advance(1000);
    expect(events).to.deep.equal(['first gives up']);
  });

  it('is bounded, and refuses the least urgent requests when it is full', () => {
    // Guards against a node whose memory fills with the bodies of requests that wait.
    const { events, add } = setUp();
    add('idle', 9);
    for (let count = 0; count < 256; count += 1) {
      add(String(count));
    }
    expect(events).to.deep.equal(['idle gives up']);
  });
});
