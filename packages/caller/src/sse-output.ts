import type { ServerResponse } from 'node:http';
import { Problem } from '@zinniagrade/errors';
import { sendProblem } from './send-response.js';
import type { StreamOutput } from './caller-api.js';

/** JSON with one character per byte of its UTF-8 form. */
const jsonBytes = (document: unknown): string =>
  Buffer.from(JSON.stringify(document)).toString('latin1');

/**
 * Writes one stream as server-sent events. The status line is sent with the first event, so that an
 * earlier failure can be sent as a problem document. Events are buffered until `flush`, with one
 * character per byte, and written at once.
 */
export const createSseOutput = (response: ServerResponse, onEnd: () => void): StreamOutput => {
  const { socket } = response;
  let pending = '';
  const sendStatus = (): void => {
    // The end of the connection ends the body, because chunk headers would double the cost of a
    // token. The last event distinguishes a complete stream from a truncated one.
    response.useChunkedEncodingByDefault = false;
    response.shouldKeepAlive = false;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'cache-control': 'no-store',
      connection: 'close',
    });
    response.flushHeaders();
  };
  const flush = (): boolean => {
    if (pending === '' || response.destroyed || socket === null) {
      pending = '';
      return true;
    }
    if (!response.headersSent) {
      sendStatus();
    }
    const events = pending;
    pending = '';
    // Without chunk headers the bytes can be written to the socket directly; `response.write` would
    // cork and uncork the socket for each token.
    return socket.write(events, 'latin1');
  };
  const finish = (): void => {
    flush();
    response.end();
    onEnd();
  };
  return {
    token: (resumeToken, _generation, _index, line) => {
      pending += `event: token\nid: ${resumeToken}\ndata: ${line}\n\n`;
    },
    restart: (generation) => {
      pending += `event: restart\ndata: ${jsonBytes({ generation })}\n\n`;
    },
    end: (generation, tokens) => {
      pending += `event: end\ndata: ${jsonBytes({ generation, tokens })}\n\n`;
      finish();
    },
    fail: (failure) => {
      if (!response.headersSent && pending === '') {
        sendProblem(response, failure);
        onEnd();
        return;
      }
      pending += `event: error\ndata: ${jsonBytes(Problem.create(failure))}\n\n`;
      finish();
    },
    flush,
  };
};
