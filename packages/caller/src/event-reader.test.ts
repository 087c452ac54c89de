import { expect } from 'chai';
import { readEvents, type StreamEvent } from './event-reader.js';

// eslint-disable-next-line @typescript-eslint/require-await -- A body is an asynchronous iterable.
async function* piecesOf(text: string, size: number): AsyncGenerator<Buffer> {
  const bytes = Buffer.from(text);
  for (let from = 0; from < bytes.length; from += size) {
    yield bytes.subarray(from, from + size);
  }
}

const readAll = async (body: AsyncIterable<Buffer>): Promise<readonly StreamEvent[]> => {
  const events: StreamEvent[] = [];
  for await (const event of readEvents(body)) {
    events.push(event);
  }
  return events;
};

describe('event reader', () => {
  it('reads the same events wherever the stream is split', async () => {
    // Guards against events that are lost, or characters that are broken, where a piece ends.
    const stream = 'event: token\nid: 1\ndata: "é"\n\nevent: end\ndata: {}\n\nevent: token\n';
    for (let size = 1; size <= stream.length; size += 1) {
      expect(await readAll(piecesOf(stream, size))).to.deep.equal([
        { event: 'token', id: '1', data: '"é"' },
        { event: 'end', data: '{}' },
      ]);
    }
  });

  it('takes little time for a large event that comes in small pieces', async () => {
    // Guards against a caller that stops for the square of the bytes that it gets.
    const lines = `data: ${'x'.repeat(100)}\n`.repeat(2000);
    const beganAtMs = performance.now();
    const events = await readAll(piecesOf(`event: token\n${lines}\n`, 4));
    expect(performance.now() - beganAtMs).to.be.below(500);
    expect(events).to.have.lengthOf(1);
  });

  it('fails on an event above its limit', async () => {
    const error = await readAll(piecesOf('x'.repeat(300 * 1024), 1000)).catch(String);
    expect(error).to.include('an event of the stream is longer than');
  });
});
