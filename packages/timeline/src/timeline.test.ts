import { Clock, HybridClock } from '@zinniagrade/clock';
import { checkDocument, formatFieldErrors } from '@zinniagrade/settings';
import type { TimelineEvent } from '@zinniagrade/types';
import { expect } from 'chai';
import { Collector } from './collector.js';
import { collectorSettingsSchema } from './collector-settings.js';
import { EventBuffer } from './event-buffer.js';
import { EventLog } from './event-log.js';
import { EventSender } from './event-sender.js';
import { followTimeline } from './follow-timeline.js';

const createEvent = (sequence: number, wallMs = sequence, process = 'a'): TimelineEvent => ({
  time: { wallMs, counter: 0 },
  process,
  sequence,
  name: 'happened',
  fields: {},
});

describe('event buffer', () => {
  it('drops and counts events that do not fit, and keeps unconfirmed events', () => {
    const buffer = EventBuffer.create(2);
    for (const sequence of [1, 2, 3]) {
      buffer.add(createEvent(sequence));
    }
    expect(buffer.dropped()).to.equal(1);
    buffer.confirm(1);
    expect(buffer.batchAfter(0).map((event) => event.sequence)).to.deep.equal([2]);
  });
});

describe('event log', () => {
  it('orders events of several processes by hybrid time and accepts each once', () => {
    const log = EventLog.create(3);
    log.add(createEvent(1, 30, 'a'));
    log.add(createEvent(1, 10, 'b'));
    expect(log.add(createEvent(1, 10, 'b'))).to.equal(false);
    log.add(createEvent(2, 20, 'b'));
    log.add(createEvent(2, 40, 'a'));
    expect(log.eventsAfter().map((event) => event.time.wallMs)).to.deep.equal([20, 30, 40]);
    expect(log.eventsAfter({ wallMs: 30, counter: 0 })).to.have.length(1);
  });
});

describe('collector', () => {
  it('sends a follower the events of a sender that started before the collector', async () => {
    const clock = Clock.create();
    const listen = { host: '127.0.0.1', port: 0 };
    const first = await Collector.create({ listen, secret: 's', name: 't', keepEvents: 9, clock });
    const address = { ...listen, port: first.port };
    await first.close();
    const hybridClock = HybridClock.create(clock.wallMs);
    const sender = EventSender.create({ process: 'a', address, secret: 's', clock, hybridClock });
    sender.emit('started', { port: 1 });
    const second = await Collector.create({
      listen: address,
      secret: 's',
      name: 't',
      keepEvents: 9,
      clock,
    });
    const event = await new Promise<TimelineEvent>((resolve) => {
      followTimeline({
        address,
        secret: 's',
        name: 'f',
        onEvent: resolve,
        onClose: () => undefined,
      });
    });
    expect(event).to.include({ process: 'a', name: 'started' });
    expect(sender.unconfirmed()).to.equal(0);
    sender.close();
    await second.close();
  });
});

describe('collector at a port in use', () => {
  it('rejects', async () => {
    const clock = Clock.create();
    const listen = { host: '127.0.0.1', port: 0 };
    const options = { secret: 's', name: 't', keepEvents: 9, clock };
    const first = await Collector.create({ ...options, listen });
    const error = await Collector.create({
      ...options,
      listen: { ...listen, port: first.port },
    }).then(
      () => '',
      (reason: unknown) => String(reason),
    );
    expect(error).to.match(/EADDRINUSE/);
    await first.close();
  });
});

describe('collector settings', () => {
  it('refuses an unknown field', () => {
    const document = { listen: { host: 'h', port: 0 }, secret: 's', keep: 3 };
    const faults = checkDocument(collectorSettingsSchema, document);
    expect(faults.caseOf({ Left: formatFieldErrors, Right: () => '' })).to.match(/keep/);
  });
});
