/* global performance */
import { Buffer } from 'node:buffer';
import { createServer } from 'node:http';
import { clearTimeout, setInterval, setTimeout } from 'node:timers';

const readJson = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
};

/** The platform's metadata store as PROTOCOL.md describes it, in memory. */
export class Store {
  #items = new Map();
  #changes = [];
  #leases = new Map();
  #watches = new Set();
  #sockets = new Set();
  #silent = new WeakSet();
  #revision = 1;
  #nextLease = 1;
  #down = false;
  #server;

  async start() {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.keepAliveTimeout = 15_000;
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('error', () => undefined);
      socket.once('close', () => this.#sockets.delete(socket));
    });
    await new Promise((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    setInterval(() => this.#endLeases(), 50).unref();
    return this;
  }

  get address() {
    return `127.0.0.1:${String(this.#server.address().port)}`;
  }

  /** Writes a key; returns when the store has acknowledged it, which is at once. */
  put(key, value) {
    this.#put(key, Buffer.from(JSON.stringify(value)).toString('base64'), 0);
  }

  remove(key) {
    if (this.#items.delete(key)) {
      this.#revision += 1;
      this.#record({ key, revision: this.#revision, tombstone: true });
    }
  }

  /** Connections that are open now go silent for good; new ones work. */
  silenceOpenConnections() {
    for (const socket of this.#sockets) {
      this.#silent.add(socket);
    }
    return this.#sockets.size;
  }

  /** Cuts all watches that are waiting now. */
  cutWatches() {
    const count = this.#watches.size;
    for (const { response } of [...this.#watches]) {
      response.destroy();
    }
    return count;
  }

  /** While down, calls get no answer and are not done. */
  setDown(down) {
    this.#down = down;
  }

  stop() {
    this.#server.closeAllConnections();
    this.#server.close();
  }

  #put(key, value, lease) {
    this.#revision += 1;
    const created = this.#items.get(key)?.created ?? this.#revision;
    const item = { key, value, revision: this.#revision, created, lease };
    this.#items.set(key, item);
    this.#record(item);
  }

  #record(change) {
    this.#changes.push(change);
    for (const watch of [...this.#watches]) {
      if (change.key.startsWith(watch.prefix)) {
        watch.respond();
      }
    }
  }

  #endLeases() {
    for (const [id, lease] of [...this.#leases]) {
      if (lease.endsAtMs < performance.now()) {
        this.#endLease(id);
      }
    }
  }

  #endLease(id) {
    this.#leases.delete(id);
    for (const item of [...this.#items.values()]) {
      if (item.lease === id) {
        this.remove(item.key);
      }
    }
  }

  #send(response, status, body) {
    if (this.#down || this.#silent.has(response.socket)) {
      return;
    }
    response.writeHead(status, { 'content-type': 'application/json' });
    response.end(JSON.stringify(body));
  }

  #range(query, response) {
    const prefix = query.get('path_prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...this.#items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    this.#send(response, 200, {
      items: found.slice(0, 500),
      more_pages: found.length > 500,
      store_revision: this.#revision,
    });
  }

  #watch(query, response) {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after'));
    const newer = () =>
      this.#changes.filter(({ key, revision }) => revision > after && key.startsWith(prefix));
    const watch = {
      prefix,
      response,
      respond: () => {
        clearTimeout(timer);
        this.#watches.delete(watch);
        this.#send(response, 200, { events: newer(), store_revision: this.#revision });
      },
    };
    const timer = setTimeout(watch.respond, Number(query.get('wait_ms')));
    this.#watches.add(watch);
    response.once('close', () => {
      clearTimeout(timer);
      this.#watches.delete(watch);
    });
    if (newer().length > 0) {
      watch.respond();
    }
  }

  #commit(body, response) {
    const current = (key) => this.#items.get(key)?.revision ?? 0;
    if (body.expected_rev.some(({ key, revision }) => current(key) !== revision)) {
      this.#send(response, 412, { items: [] });
      return;
    }
    if (body.writes.some(({ lease }) => (lease ?? 0) !== 0 && !this.#leases.has(lease))) {
      this.#send(response, 404, {});
      return;
    }
    for (const { key, value, lease } of body.writes) {
      this.#put(key, value, lease ?? 0);
    }
    for (const key of body.remove) {
      this.remove(key);
    }
    this.#send(response, 200, { revision: this.#revision });
  }

  #leaseCall(path, response) {
    const id = Number(path.slice(path.lastIndexOf('/') + 1));
    const lease = this.#leases.get(id);
    if (lease === undefined) {
      this.#send(response, 404, {});
      return;
    }
    lease.endsAtMs = performance.now() + lease.ttlMs;
    if (path.startsWith('/api/kv-lease-end/')) {
      this.#endLease(id);
    }
    this.#send(response, 200, { ttl_ms: lease.ttlMs });
  }

  async #handle(request, response) {
    const url = new URL(request.url, 'http://store');
    const body = await readJson(request);
    if (this.#down || this.#silent.has(request.socket)) {
      return;
    }
    switch (url.pathname) {
      case '/api/kv-range':
        this.#range(url.searchParams, response);
        return;
      case '/api/kv-watch':
        this.#watch(url.searchParams, response);
        return;
      case '/api/kv-txn':
        this.#commit(body, response);
        return;
      case '/api/kv-lease': {
        this.#nextLease += 1;
        const ttlMs = Number(body.ttl_ms);
        this.#leases.set(this.#nextLease, { ttlMs, endsAtMs: performance.now() + ttlMs });
        this.#send(response, 200, { lease: this.#nextLease, ttl_ms: ttlMs });
        return;
      }
      default:
        this.#leaseCall(url.pathname, response);
    }
  }
}
