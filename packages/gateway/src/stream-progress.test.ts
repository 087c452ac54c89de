import { VirtualClock } from '@zinniagrade/clock';
import { EventSplitter } from '@zinniagrade/serving';
import { expect } from 'chai';
import { assert, array, integer, property } from 'fast-check';
import type { Call, ServingContext } from './call.js';
import { Metrics } from './metrics.js';
import { StreamProgress } from './stream-progress.js';

const eventCount = 6;

const formatEvent = (id: number): string => `id: ${String(id)}\ndata: token-${String(id)}\n\n`;

const eventsAfter = (id: number): string => {
  let text = '';
  for (let next = id + 1; next <= eventCount; next += 1) {
    text += formatEvent(next);
  }
  return text;
};

const createProgress = (): StreamProgress =>
  StreamProgress.create(
    { clock: VirtualClock.create(), metrics: Metrics.create() } as unknown as ServingContext,
    { arrivedAtMs: 0, route: { name: 'answer' } } as unknown as Call,
  );

describe('stream progress', () => {
  it('forwards each event once and in order, whatever bytes a stream is cut at', () => {
    // Guards against events that are lost, doubled or forwarded in part when a stream is resumed.
    const cuts = array(integer({ min: 0, max: eventsAfter(0).length }), { maxLength: 8 });
    assert(
      property(cuts, integer({ min: 1, max: 40 }), (lengths, chunkBytes) => {
        const progress = createProgress();
        let forwarded = '';
        for (const length of [...lengths, Infinity]) {
          const splitter = EventSplitter.create();
          const run = Buffer.from(eventsAfter(Number(progress.lastEventId() ?? 0)));
          const sent = run.subarray(0, Math.min(length, run.length));
          for (let offset = 0; offset < sent.length; offset += chunkBytes) {
            for (const event of splitter.push(sent.subarray(offset, offset + chunkBytes))) {
              forwarded += progress.accept(event) ? event.bytes.toString() : '';
            }
          }
        }
        expect(forwarded).to.equal(eventsAfter(0));
      }),
      { seed: 17 },
    );
  });

  it('forwards comments, but does not take them for progress', () => {
    const clock = VirtualClock.create();
    const progress = StreamProgress.create(
      { clock, metrics: Metrics.create() } as unknown as ServingContext,
      { arrivedAtMs: 0, route: { name: 'answer' } } as unknown as Call,
    );
    progress.accept({ id: '1', bytes: Buffer.from(formatEvent(1)) });
    clock.advance(100);
    expect(progress.accept({ bytes: Buffer.from(': comment\n\n') })).to.equal(true);
    expect(progress.lastEventAtMs()).to.equal(0);
    expect(progress.events()).to.equal(1);
  });
});
