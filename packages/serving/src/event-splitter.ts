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
  /** Adds bytes and returns the events that they complete. */
  readonly push: (bytes: Buffer) => readonly StreamEvent[];
  /** The bytes after the last complete event. */
  readonly remainder: () => Buffer;
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

export const EventSplitter = {
  create: (): EventSplitter => {
    let pending: Buffer = Buffer.alloc(0);
    return {
      push: (bytes) => {
        pending = pending.length === 0 ? bytes : Buffer.concat([pending, bytes]);
        const events: StreamEvent[] = [];
        let start = 0;
        for (let end = findEventEnd(pending, 0); end !== -1; end = findEventEnd(pending, start)) {
          events.push(parseEvent(pending.subarray(start, end)));
          start = end;
        }
        pending = pending.subarray(start);
        return events;
      },
      remainder: () => pending,
      endsInsideEvent: () => partialEventPattern.test(pending.toString('latin1')),
    };
  },
};

/** Whether a whole response that holds a stream of events ends inside one of them. */
export const isTruncatedStream = (body: Buffer): boolean => {
  const splitter = EventSplitter.create();
  splitter.push(body);
  return splitter.endsInsideEvent();
};
