/** One event of a `text/event-stream`. */
export interface StreamEvent {
  readonly event: string;
  readonly id?: string;
  readonly data: string;
}

/** Limit on the length of one event in characters. */
const maxEventLength = 256 * 1024;

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
  const decoder = new TextDecoder();
  let buffered = '';
  for await (const chunk of body) {
    buffered += decoder.decode(chunk, { stream: true });
    for (
      let eventEnd = buffered.indexOf('\n\n');
      eventEnd !== -1;
      eventEnd = buffered.indexOf('\n\n')
    ) {
      yield parseEvent(buffered.slice(0, eventEnd));
      buffered = buffered.slice(eventEnd + 2);
    }
    if (buffered.length > maxEventLength) {
      throw new Error(`an event of the stream is longer than ${maxEventLength} characters`);
    }
  }
}
