import { Failure } from '@zinniagrade/errors';
import type { GenerationId } from '@zinniagrade/types';
import type { Dispatcher } from 'undici';
import type { Exchange, ExchangeRequest, UpstreamAddress } from './exchange.js';
import { openExchange } from './exchange.js';
import { failureOfStatus } from './json-exchange.js';
import { ChunkScanner, LineSplitter, parseStreamLine } from './stream-lines.js';

/** Longest body of a refusal that is read. */
const maxRefusalBytes = 8 * 1024;

/** What the reader of a generation stream is told, in order. */
export interface GenerationListener {
  /** The engine took the request, or the resume. */
  readonly opened: () => void;
  /** `line` is the whole chunk as a string of bytes; see `StreamLine`. */
  readonly chunk: (generation: GenerationId, index: number, line: string) => void;
  readonly end: (generation: GenerationId, tokens: number) => void;
  /** All lines that arrived together have been passed on. */
  readonly flush: () => void;
  /**
   * The stream is over without an end line. Before `opened`, the failure tells whether the request
   * can have run; after it, the engine may still hold the generation.
   */
  readonly failed: (failure: Failure, status: number | undefined) => void;
}

/** Opens a stream of lines; lines that do not fit the protocol break it off. */
export const openGenerationStream = (
  dispatcher: Dispatcher,
  address: UpstreamAddress,
  request: ExchangeRequest,
  generation: GenerationId,
  reader: GenerationListener,
): Exchange => {
  const lines = LineSplitter.create();
  const scanner = ChunkScanner.create(generation);
  let status: number | undefined;
  let refusal = '';
  let over = false;
  const running: { exchange?: Exchange } = {};
  const breakOff = (failure: Failure): void => {
    if (!over) {
      over = true;
      running.exchange?.close();
      reader.failed(failure, status);
    }
  };
  const take = (line: string): void => {
    if (over) {
      return;
    }
    const index = scanner.chunkIndexOf(line);
    if (index >= 0) {
      reader.chunk(generation, index, line);
      return;
    }
    const parsed = parseStreamLine(line);
    if (parsed === undefined) {
      breakOff(Failure.create('protocol-violation', `line ${line.slice(0, 80)}`));
    } else if (parsed.kind === 'chunk') {
      reader.chunk(parsed.generation, parsed.index, parsed.line);
    } else {
      over = true;
      reader.end(parsed.generation, parsed.tokens);
    }
  };
  const opened = openExchange(dispatcher, address, request, {
    start: (started) => {
      status = started;
      if (started === 200) {
        reader.opened();
      }
    },
    data: (chunk) => {
      if (status !== 200) {
        refusal += refusal.length < maxRefusalBytes ? chunk.toString('utf8') : '';
        return;
      }
      if (!lines.push(chunk, take)) {
        breakOff(Failure.create('protocol-violation', 'a line is too long'));
      }
      reader.flush();
    },
    end: () => {
      breakOff(
        status === 200
          ? Failure.create('upstream-failed', 'the stream stopped without an end')
          : failureOfStatus(status ?? 0, refusal),
      );
    },
    failed: breakOff,
  });
  running.exchange = opened;
  return {
    ...opened,
    close: () => {
      over = true;
      opened.close();
    },
  };
};
