/** One event of a stream, with its bytes as the upstream sent them. */
export interface StreamEvent {
  readonly bytes: Buffer;
  readonly id?: string;
}

/** Cuts a byte stream into whole events, so that a broken stream never ends inside one. */
export interface EventSplitter {
  /** Events that are complete with these bytes. */
  readonly push: (bytes: Buffer) => readonly StreamEvent[];
  /** Bytes after the last complete event. */
  readonly rest: () => Buffer;
}

const idPattern = /^id:[ ]?(.*)$/m;

/** End of the first blank line at or after `from`, or -1. */
const endOfEvent = (bytes: Buffer, from: number): number => {
  for (let at = bytes.indexOf(10, from); at !== -1; at = bytes.indexOf(10, at + 1)) {
    const next = bytes[at + 1];
    if (next === 10) {
      return at + 2;
    }
    if (next === 13 && bytes[at + 2] === 10) {
      return at + 3;
    }
  }
  return -1;
};

const eventOf = (bytes: Buffer): StreamEvent => {
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
        for (let end = endOfEvent(pending, 0); end !== -1; end = endOfEvent(pending, start)) {
          events.push(eventOf(pending.subarray(start, end)));
          start = end;
        }
        pending = pending.subarray(start);
        return events;
      },
      rest: () => pending,
    };
  },
};
