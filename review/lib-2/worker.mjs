import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { setTimeout } from 'node:timers';
import { now } from './record.mjs';

let seals = 0;

/**
 * A worker as PROTOCOL.md describes it. `run(request, response, worker)` answers the requests of
 * clients; the calls of the system are answered here.
 */
export class Worker {
  #server;
  #sockets = new Set();

  constructor(id, service, zone, run, entry = {}) {
    this.id = id;
    this.service = service;
    this.zone = zone;
    this.run = run;
    this.entry = entry;
    this.arrivals = [];
    this.running = new Set();
  }

  async start(port = 0) {
    this.#server = createServer((request, response) => this.#handle(request, response));
    this.#server.keepAliveTimeout = 5000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(port, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${String(this.#server.address().port)}`;
    return this;
  }

  /** What the worker writes to the store about itself. */
  registration(changes = {}) {
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: 24,
      state: 'ready',
      cold_left_ms: 0,
      stage: 'both',
      models: [{ name: 'm', version: 1, adapters: [] }],
      call_seq: 0,
      ...this.entry,
      ...changes,
    };
  }

  /** Ends the process of the worker: all connections close, and the port refuses new ones. */
  exit() {
    for (const socket of this.#sockets) {
      socket.destroy();
    }
    this.#server.close();
  }

  #handle(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('error', () => undefined);
    response.on('error', () => undefined);
    request.on('end', () => {
      const path = new URL(request.url, 'http://worker').pathname;
      if (path === '/api/report') {
        this.#reply(response, 200, {
          stage: 'both',
          models: [{ name: 'm', version: 1, adapters: [] }],
          busy: false,
          call_seq: 0,
          queued: 0,
          running: this.running.size,
          kv_used: 0,
          kv_total: 34_287,
          handles: 0,
          state: 'ready',
          runs: [...this.running].map((id) => [id, 0, 0, 5]),
        });
        return;
      }
      if (path.startsWith('/api/')) {
        this.#reply(response, 404, {});
        return;
      }
      const expected = request.headers['x-zinniagrade-expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        response.writeHead(421, { 'X-Zinniagrade-Instance-Id': this.id }).end();
        return;
      }
      const id = request.headers['x-zinniagrade-attempt-id'];
      this.arrivals.push({ id, path, atMs: now() });
      this.running.add(id);
      response.once('close', () => this.running.delete(id));
      this.run(request, response, this, Buffer.concat(chunks));
    });
  }

  /** Headers of an answer to a request of a client. */
  headersFor(request) {
    seals += 1;
    return {
      'X-Zinniagrade-Attempt-Id': request.headers['x-zinniagrade-attempt-id'],
      'X-Zinniagrade-Instance-Seal': `${this.id}.${String(seals)}`,
    };
  }

  #reply(response, status, body) {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  }
}

/** Answers with a small body after a time. */
export const answerAfter = (workMs) => (request, response, worker) => {
  setTimeout(() => {
    const body = Buffer.alloc(800, 'x');
    response.writeHead(200, { ...worker.headersFor(request), 'content-length': body.length });
    response.end(body);
  }, workMs);
};

/** Streams events at an even pace; `eventsOf` tells how many the request gets. */
export const streamEvents = (eventsOf, gapMs) => (request, response, worker) => {
  const total = eventsOf(request);
  let sent = 0;
  response.writeHead(200, { ...worker.headersFor(request), 'content-type': 'text/event-stream' });
  const next = () => {
    if (response.destroyed) {
      return;
    }
    sent += 1;
    response.write(`id: ${String(sent)}\ndata: ${'t'.repeat(20)}\n\n`);
    if (sent === total) {
      response.end();
    } else {
      setTimeout(next, gapMs);
    }
  };
  setTimeout(next, gapMs);
};
