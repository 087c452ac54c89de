import { createServer, request as httpRequest } from 'node:http';
import { Buffer } from 'node:buffer';
import { clearInterval, setInterval, setTimeout } from 'node:timers';

/**
 * A model worker as a process of its own: `engine.mjs ID`. Its parent sends settings as messages and
 * gets one for each run that begins or ends. A run makes an event of four tokens each `eventMs`, as many
 * as its request allows; the last one says so.
 * The memory of a run goes to the holder of its backup five times a second. While `longQueue` requests
 * wait for a slot, it resets new connections beyond `maxConnectionsWhileQueued`.
 */
const [, , id] = process.argv;
const settings = {
  eventMs: 50,
  statesLength: true,
  slots: 24,
  longQueue: 1,
  maxConnectionsWhileQueued: Infinity,
};
const runs = new Map();
/** Copies of runs of other engines, by reference: the number of events that they hold. */
const copies = new Map();
/** Requests that wait for a slot. */
const queue = [];
let address = '';
let handles = 0;

process.on('message', ({ loseAnswerOf, ...changes }) => {
  Object.assign(settings, changes);
  if (loseAnswerOf !== undefined) {
    loseAnswer(loseAnswerOf);
  }
});
process.on('disconnect', () => process.exit(0));
const report = (message) => process.send?.({ at: Date.now(), engine: id, ...message });

const readBody = async (message) => {
  const chunks = [];
  for await (const chunk of message) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
};

/** Sends a copy to another engine; resolves with whether it took it. */
const sendCopy = (holder, copy) =>
  new Promise((resolve) => {
    const [host, port] = holder.split(':');
    const call = httpRequest({ host, port, method: 'POST', path: '/copies' }, (response) => {
      response.resume();
      response.on('end', () => resolve(response.statusCode === 200));
    });
    call.on('error', () => resolve(false));
    call.end(JSON.stringify(copy));
  });

const endRun = (run, reason) => {
  if (runs.get(run.id) !== run) {
    return;
  }
  runs.delete(run.id);
  clearInterval(run.timer);
  clearInterval(run.backupTimer);
  report({ what: 'ends', run: run.id, made: run.made, reason });
  queue.shift()?.();
};

/** Resets the connection of a run and goes on with it: it runs, and its answer is lost. */
const loseAnswer = (runId) => {
  const run = runs.get(runId);
  if (run !== undefined) {
    run.isAnswerLost = true;
    report({ what: 'loses the answer of', run: runId, made: run.made });
    run.response.socket.resetAndDestroy();
  }
};

const startRun = (message, response, from) => {
  if (response.destroyed) {
    queue.shift()?.();
    return;
  }
  const [, maxTokens] = message.headers['x-zinniagrade-token-usage'].split(',');
  const run = {
    id: message.headers['x-zinniagrade-attempt-id'],
    made: from,
    events: Math.ceil(Number(maxTokens) / 4),
    response,
  };
  const backup = message.headers['x-zinniagrade-kv-backup'];
  runs.set(run.id, run);
  report({ what: 'runs', run: run.id, from, backup, copy: message.headers['kv-from'] });
  const headers = {
    'content-type': 'text/event-stream',
    'X-Zinniagrade-Attempt-Id': run.id,
    'X-Zinniagrade-Instance-Seal': `seal-of-${id}`,
  };
  if (!settings.statesLength) {
    // Neither a length nor chunks: the answer ends with its connection.
    response.removeHeader('transfer-encoding');
  }
  response.writeHead(200, headers);
  response.flushHeaders();
  run.timer = setInterval(() => {
    run.made += 1;
    const isLast = run.made >= run.events;
    if (!run.isAnswerLost) {
      response.write(`id: ${String(run.made)}\ndata: ${run.id} ${isLast ? 'last' : 'more'}\n\n`);
    }
    if (isLast) {
      endRun(run, 'complete');
      response.end();
    }
  }, settings.eventMs);
  if (backup !== undefined) {
    run.backupTimer = setInterval(() => {
      void sendCopy(backup, { reference: `${backup}/${run.id}`, run: run.id, made: run.made });
    }, 200);
  }
  response.on('close', () => {
    if (!run.isAnswerLost) {
      endRun(run, 'its connection closed');
    }
  });
};

const startOrQueue = (message, response, from) => {
  const start = () => startRun(message, response, from);
  if (runs.size < settings.slots) {
    start();
  } else {
    queue.push(start);
  }
};

const refuse = (message, response, status) => {
  response
    .writeHead(status, {
      'X-Zinniagrade-Attempt-Id': message.headers['x-zinniagrade-attempt-id'] ?? '',
      'X-Zinniagrade-Instance-Seal': `seal-of-${id}`,
      'X-Zinniagrade-Not-Executed': '1',
    })
    .end();
};

const serveRun = (message, response) => {
  if ((message.headers['x-zinniagrade-expect-instance'] ?? id) !== id) {
    refuse(message, response, 421);
    return;
  }
  const reference = message.headers['kv-from'];
  if (reference === undefined) {
    startOrQueue(message, response, Number(message.headers['last-event-id'] ?? 0));
    return;
  }
  const copy = copies.get(reference);
  if (copy?.run !== message.headers['x-zinniagrade-attempt-id']) {
    refuse(message, response, 503);
    return;
  }
  copies.delete(reference);
  startRun(message, response, Number(message.headers['last-event-id'] ?? 0));
};

const moveRun = async ({ id: runId, target, last }, response) => {
  const run = runs.get(runId);
  if (run === undefined) {
    response.writeHead(404).end('{}');
    return;
  }
  handles += 1;
  const reference = `${address}/${String(handles)}`;
  const copy = { reference, run: runId, made: run.made };
  if (last) {
    endRun(run, 'stopped for a move');
    run.response.destroy();
    copies.set(reference, copy);
  }
  const isCopied = await sendCopy(target, copy);
  response.writeHead(isCopied ? 200 : 503);
  response.end(JSON.stringify({ handle: handles, created: copy.made }));
};

const server = createServer((message, response) => {
  void readBody(message).then((body) => {
    if (message.url === '/api/report') {
      const rows = [...runs.values()].map((run) => [run.id, 1000 + run.made * 4, run.made, 5]);
      response.end(
        JSON.stringify({
          stage: 'both',
          models: [{ name: 'm', version: 1, adapters: [] }],
          busy: false,
          call_seq: 0,
          queued: queue.length,
          running: rows.length,
          kv_used: rows.reduce((sum, row) => sum + row[1], 0),
          kv_total: 34_000,
          handles: 0,
          runs: rows,
        }),
      );
    } else if (message.url === '/copies') {
      const copy = JSON.parse(body);
      copies.set(copy.reference, copy);
      response.end();
    } else if (message.url === '/api/kv-move') {
      void moveRun(JSON.parse(body), response);
    } else if (message.url.startsWith('/api/kv-handle/')) {
      copies.delete(`${address}/${message.url.slice('/api/kv-handle/'.length)}`);
      response.end('{}');
    } else if (message.url === '/healthz') {
      response.writeHead(200, { 'X-Zinniagrade-Instance-Id': id }).end();
    } else {
      serveRun(message, response);
    }
  });
});
server.keepAliveTimeout = 15_000;
const connections = new Set();
server.on('connection', (socket) => {
  if (
    queue.length >= settings.longQueue &&
    connections.size >= settings.maxConnectionsWhileQueued
  ) {
    report({ what: 'resets a new connection', run: '', made: connections.size });
    socket.resetAndDestroy();
    return;
  }
  connections.add(socket);
  socket.once('close', () => connections.delete(socket));
});
server.listen(0, '127.0.0.1', () => {
  address = `127.0.0.1:${String(server.address().port)}`;
  report({ what: 'listens', address });
});
setTimeout(() => process.exit(0), 120_000).unref();
