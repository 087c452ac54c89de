import { PendingBytes } from '@zinniagrade/pending-bytes';

/** One event of a `text/event-stream`. */
export interface StreamEvent {
  readonly event: string;
  readonly id?: string;
  readonly data: string;
}

/** Limit on the length of one event. */
const maxEventBytes = 256 * 1024;
const eventEnd = '\n\n';

const parseEvent = (block: string): StreamEvent => {
  const fields = new Map<string, string>();
  for (const line of block.split('\n')) {
    const colon = line.indexOf(': ');
    if (colon > 0) {
      fields.set(line.slice(0, colon), line.slice(colon + 2));
    }
  }
  const id = fields.get('id');
  return {
    event: fields.get('event') ?? 'message',
    data: fields.get('data') ?? '',
    ...(id === undefined ? {} : { id }),
  };
};

/** Splits a byte stream into events. An incomplete event at the end of the stream is dropped. */
export async function* readEvents(body: AsyncIterable<Buffer>): AsyncGenerator<StreamEvent> {
  const pending = PendingBytes.create();
  /** No event ends that begins its last line end before this index of the pending bytes. */
  let searchedTo = 0;
  for await (const chunk of body) {
    pending.append(chunk);
    const view = pending.view();
    let start = 0;
    for (
      let end = view.indexOf(eventEnd, searchedTo);
      end !== -1;
      end = view.indexOf(eventEnd, start)
    ) {
      yield parseEvent(view.toString('utf8', start, end));
      start = end + eventEnd.length;
    }
    pending.consume(start);
    searchedTo = Math.max(0, pending.size() - eventEnd.length + 1);
    if (pending.size() > maxEventBytes) {
      throw new Error(`an event of the stream is longer than ${maxEventBytes} bytes`);
    }
  }
}
