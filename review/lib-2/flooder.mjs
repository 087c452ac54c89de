import { Buffer } from 'node:buffer';
import { setInterval } from 'node:timers';
import { streamEvents, Worker } from './worker.mjs';

/**
 * A model worker that gets into trouble: from then on each request gets bytes that are no answer,
 * until the caller closes. All its connections together send no more than its link of 1,000 Mbit/s
 * carries. `heads`: interim heads without end. `body`: the head of a stream and then a body without
 * the end of an event, in chunks of a byte.
 */
const kind = process.argv[2];
const bytesPerMs = 125_000;
const unit = Buffer.from(kind === 'heads' ? 'HTTP/1.1 102 Processing\r\n\r\n' : '1\r\nx\r\n');
const piece = Buffer.concat(new Array(Math.ceil(65_536 / unit.length)).fill(unit));
const flooding = new Set();
const answer = streamEvents(() => 40, 30);
let isInTrouble = false;
let sentBytes = 0;
let requests = 0;

const worker = new Worker('i-llm-7', 'llm', 'gent-a', undefined);
worker.run = (request, response) => {
  if (!isInTrouble) {
    answer(request, response, worker);
    return;
  }
  requests += 1;
  if (kind === 'body') {
    const headers = worker.headersFor(request);
    response.writeHead(200, { ...headers, 'content-type': 'text/event-stream' }).flushHeaders();
  }
  const { socket } = response;
  flooding.add(socket);
  socket.once('close', () => flooding.delete(socket));
};
await worker.start();
process.send({ registration: worker.registration() });
process.on('message', () => {
  isInTrouble = true;
});

let allowedBytes = 0;
setInterval(() => {
  allowedBytes = Math.min(allowedBytes + 2 * bytesPerMs, 10 * bytesPerMs);
  let hasSent = true;
  while (hasSent && allowedBytes > 0) {
    hasSent = false;
    for (const socket of flooding) {
      // A socket whose caller doesn't read fills up to its limit and waits.
      if (socket.writableLength < piece.length && allowedBytes > 0) {
        socket.write(piece);
        sentBytes += piece.length;
        allowedBytes -= piece.length;
        hasSent = true;
      }
    }
  }
}, 2);

setInterval(() => process.send({ sentBytes, requests, open: flooding.size }), 500);
process.on('disconnect', () => process.exit());
