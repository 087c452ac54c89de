import { Failure } from '@zinniagrade/errors';
import type { GenerationId } from '@zinniagrade/types';
import type { Dispatcher } from 'undici';
import type { Exchange, ExchangeRequest, UpstreamAddress } from './exchange.js';
import { openExchange } from './exchange.js';
import { failureOfStatus } from './json-exchange.js';
import { ChunkScanner, LineSplitter, parseStreamLine } from './stream-lines.js';

/** An error body is read up to the chunk that exceeds this length. */
const maxErrorBodyBytes = 8 * 1024;

/** Receives the events of a generation stream in order. */
export interface GenerationListener {
  /** The engine accepted the request, or the request to resume. */
  readonly opened: () => void;
  /** `line` is the whole chunk with one character per byte; see `StreamLine`. */
  readonly chunk: (generation: GenerationId, index: number, line: string) => void;
  readonly end: (generation: GenerationId, tokens: number) => void;
  /** All lines that arrived together have been delivered. */
  readonly flush: () => void;
  /**
   * The stream ended without an end line. Before `opened`, the failure tells whether the request may
   * have run; afterwards, the engine may still hold the generation.
   */
  readonly failed: (failure: Failure, status: number | undefined) => void;
}

/** Opens a generation stream. A line that violates the protocol closes it. */
export const openGenerationStream = (
  dispatcher: Dispatcher,
  address: UpstreamAddress,
  request: ExchangeRequest,
  generation: GenerationId,
  listener: GenerationListener,
): Exchange => {
  const splitter = LineSplitter.create();
  const scanner = ChunkScanner.create(generation);
  let status: number | undefined;
  let errorBody = '';
  let ended = false;
  const current: { exchange?: Exchange } = {};
  const abort = (failure: Failure): void => {
    if (!ended) {
      ended = true;
      current.exchange?.close();
      listener.failed(failure, status);
    }
  };
  const handleLine = (line: string): void => {
    if (ended) {
      return;
    }
    const index = scanner.chunkIndexOf(line);
    if (index >= 0) {
      listener.chunk(generation, index, line);
      return;
    }
    const parsed = parseStreamLine(line);
    if (parsed === undefined) {
      abort(
        Failure.create('protocol-violation', `malformed line in the stream: ${line.slice(0, 80)}`),
      );
    } else if (parsed.kind === 'chunk') {
      listener.chunk(parsed.generation, parsed.index, parsed.line);
    } else {
      ended = true;
      listener.end(parsed.generation, parsed.tokens);
    }
  };
  const exchange = openExchange(dispatcher, address, request, {
    start: (statusCode) => {
      status = statusCode;
      if (statusCode === 200) {
        listener.opened();
      }
    },
    data: (chunk) => {
      if (status !== 200) {
        errorBody += errorBody.length < maxErrorBodyBytes ? chunk.toString('utf8') : '';
        return;
      }
      if (!splitter.push(chunk, handleLine)) {
        abort(Failure.create('protocol-violation', 'a line of the stream is too long'));
      }
      listener.flush();
    },
    end: () => {
      abort(
        status === 200
          ? Failure.create('upstream-failed', 'the stream ended without an end line')
          : failureOfStatus(status ?? 0, errorBody),
      );
    },
    failed: abort,
  });
  current.exchange = exchange;
  return {
    ...exchange,
    close: () => {
      ended = true;
      exchange.close();
    },
  };
};
