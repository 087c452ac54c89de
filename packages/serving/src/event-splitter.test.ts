import { expect } from 'chai';
import { EventSplitter } from './event-splitter.js';

const textsOf = (events: readonly { readonly bytes: Buffer }[]): readonly string[] =>
  events.map(({ bytes }) => bytes.toString());

describe('event splitter', () => {
  it('returns only complete events, wherever the stream is split', () => {
    // Guards against forwarding part of an event when an engine fails in the middle of it.
    const stream = 'id: 1\ndata: a\n\nid: 2\ndata: bb\n\n';
    for (let cut = 0; cut <= stream.length; cut += 1) {
      const splitter = EventSplitter.create();
      const first = splitter.push(Buffer.from(stream.slice(0, cut)));
      const second = splitter.push(Buffer.from(stream.slice(cut)));
      expect([...textsOf(first), ...textsOf(second)]).to.deep.equal([
        'id: 1\ndata: a\n\n',
        'id: 2\ndata: bb\n\n',
      ]);
    }
  });

  it('reads an id that follows other lines', () => {
    const [event] = EventSplitter.create().push(Buffer.from('version: 2\nid:7\ndata: x\n\n'));
    expect(event?.id).to.equal('7');
  });

  it('accepts CRLF line endings', () => {
    const events = EventSplitter.create().push(Buffer.from('id: 1\r\ndata: a\r\n\r\nid: 2\r\n'));
    expect(events.map(({ id }) => id)).to.deep.equal(['1']);
  });

  it('keeps the bytes after the last complete event', () => {
    const splitter = EventSplitter.create();
    splitter.push(Buffer.from('data: a\n\ndata: b'));
    expect(splitter.remainder().toString()).to.equal('data: b');
  });

  it('takes line ends and spaces between events for no part of one', () => {
    // Guards against a complete stream that is taken for broken, and the reverse.
    for (const [rest, isPartOfEvent] of [
      ['', false],
      ['\r\n \t\n', false],
      ['data: b\n', true],
      ['\n\ni', true],
    ] as const) {
      const splitter = EventSplitter.create();
      splitter.push(Buffer.from(`data: a\n\n${rest}`));
      expect(splitter.endsInsideEvent(), rest).to.equal(isPartOfEvent);
    }
  });
});
