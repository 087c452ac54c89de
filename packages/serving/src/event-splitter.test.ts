import { expect } from 'chai';
import fc from 'fast-check';
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

  /** Allowed beyond a route's time-out, in which a request that waits meanwhile is answered. */
  const slackMs = 500;
  const eventBytes = 400_000;
  for (const [name, pattern] of [
    ['one line', 'x'],
    ['lines without a blank one between them', 'data: x\n'],
    ['comments', ':\n'],
    ['carriage returns', '\r'],
    ['blank lines with spaces', ' \r\n'],
  ] as const) {
    it(`takes little time for an event of ${name} that comes byte by byte`, () => {
      // Guards against a process that stops for the square of the bytes that an upstream sends.
      const splitter = EventSplitter.create();
      const pieces = [...Buffer.from(pattern)].map((byte) => Buffer.of(byte));
      const beganAtMs = performance.now();
      let events = 0;
      for (let sent = 0; sent < eventBytes; sent += pieces.length) {
        for (const piece of pieces) {
          events += splitter.push(piece).length;
        }
      }
      expect(performance.now() - beganAtMs).to.be.below(slackMs);
      expect(events).to.equal(0);
      expect(splitter.remainderBytes()).to.be.at.least(eventBytes);
    });
  }

  it('finds the same events wherever the stream is cut', () => {
    // Guards against an end of an event that is missed where it comes in pieces.
    const text = fc.array(fc.constantFrom('\n', '\r', 'id: 1', 'x', ' '), { maxLength: 40 });
    fc.assert(
      fc.property(text, fc.array(fc.nat(40)), (parts, cuts) => {
        const stream = Buffer.from(parts.join(''));
        const splitter = EventSplitter.create();
        const events: string[] = [];
        let from = 0;
        for (const cut of [...cuts, stream.length].sort((a, b) => a - b)) {
          events.push(...textsOf(splitter.push(stream.subarray(from, cut))));
          from = Math.max(from, Math.min(cut, stream.length));
        }
        const whole = EventSplitter.create();
        expect(events).to.deep.equal(textsOf(whole.push(stream)));
        expect(splitter.remainder().equals(whole.remainder())).to.equal(true);
      }),
    );
  });
});
