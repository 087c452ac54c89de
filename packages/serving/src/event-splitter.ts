import { PendingBytes } from '@zinniagrade/pending-bytes';

/** One server-sent event, with its bytes as received from the upstream. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id?: string;
}

const eventIdPattern = /^\d{1,15}$/;

/** Whether the text can be the id of an event: ids of a stream are increasing whole numbers. */
export const isValidEventId = (text: string): boolean => eventIdPattern.test(text);

/**
 * Splits a byte stream into complete events, so that a broken stream never ends within an event.
 */
export interface EventSplitter {
  /**
   * Adds bytes and returns the events that they complete. Takes a time in proportion to these bytes,
   * averaged over many calls, however small the pieces are.
   */
  readonly push: (bytes: Buffer) => readonly StreamEvent[];
  /** The bytes after the last complete event. */
  readonly remainder: () => Buffer;
  /** Number of bytes after the last complete event. */
  readonly remainderBytes: () => number;
  /** Whether these bytes are more than line ends and spaces. */
  readonly endsInsideEvent: () => boolean;
}

const partialEventPattern = /[^ \t\r\n]/;
const idPattern = /^id:[ ]?(.*)$/m;

/** Index after the first blank line at or after `from`, or -1. LF is 10, CR is 13. */
const findEventEnd = (bytes: Buffer, from: number): number => {
  for (let index = bytes.indexOf(10, from); index !== -1; index = bytes.indexOf(10, index + 1)) {
    const next = bytes[index + 1];
    if (next === 10) {
      return index + 2;
    }
    if (next === 13 && bytes[index + 2] === 10) {
      return index + 3;
    }
  }
  return -1;
};

const parseEvent = (bytes: Buffer): StreamEvent => {
  const id = idPattern.exec(bytes.toString('latin1'))?.[1]?.trim();
  return id === undefined ? { bytes } : { bytes, id };
};

/** The longest end of an event is a line end, CR and LF. */
const maxEventEndBytes = 3;

export const EventSplitter = {
  create: (): EventSplitter => {
    const pending = PendingBytes.create();
    /** No event ends that begins its last line end before this index of the pending bytes. */
    let searchedTo = 0;
    return {
      push: (bytes) => {
        pending.append(bytes);
        const view = pending.view();
        const events: StreamEvent[] = [];
        let start = 0;
        for (
          let end = findEventEnd(view, searchedTo);
          end !== -1;
          end = findEventEnd(view, start)
        ) {
          events.push(parseEvent(view.subarray(start, end)));
          start = end;
        }
        pending.consume(start);
        searchedTo = Math.max(0, pending.size() - maxEventEndBytes + 1);
        return events;
      },
      remainder: pending.view,
      remainderBytes: pending.size,
      endsInsideEvent: () => partialEventPattern.test(pending.view().toString('latin1')),
    };
  },
};

/** Whether a whole response that holds a stream of events ends inside one of them. */
export const isTruncatedStream = (body: Buffer): boolean => {
  const splitter = EventSplitter.create();
  splitter.push(body);
  return splitter.endsInsideEvent();
};
