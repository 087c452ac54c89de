// Stand-in of the platform's store: keys, leases, transactions and watches as PROTOCOL.md has them.
import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import { clearTimeout, setInterval, clearInterval, setTimeout } from 'node:timers';
import { performance } from 'node:perf_hooks';

const readJson = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString();
  return text === '' ? {} : JSON.parse(text);
};

const send = (response, status, body) => {
  const text = JSON.stringify(body);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};

const pageSize = 500;

/** Starts a store on a loopback address. */
export const startStore = async (host) => {
  const items = new Map();
  const leases = new Map();
  const changes = [];
  const watches = new Set();
  let revision = 1;
  let nextLease = 1;

  const record = (change) => {
    changes.push(change);
    for (const watch of [...watches]) {
      if (change.key.startsWith(watch.prefix)) {
        watch.respond();
      }
    }
  };

  const write = (key, value, lease = 0) => {
    revision += 1;
    const created = items.get(key)?.created ?? revision;
    for (const known of leases.values()) {
      known.keys.delete(key);
    }
    leases.get(lease)?.keys.add(key);
    items.set(key, { key, value, revision, created, lease });
    record(items.get(key));
  };

  const remove = (key) => {
    if (items.delete(key)) {
      revision += 1;
      record({ key, revision, tombstone: true });
    }
  };

  const endLease = (id) => {
    const lease = leases.get(id);
    leases.delete(id);
    for (const key of lease?.keys ?? []) {
      remove(key);
    }
  };

  const range = (query, response) => {
    const prefix = query.get('path_prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(response, 200, {
      items: found.slice(0, pageSize),
      more_pages: found.length > pageSize,
      store_revision: revision,
    });
  };

  const watch = (query, response) => {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after'));
    const newer = () =>
      changes.filter((change) => change.revision > after && change.key.startsWith(prefix));
    const entry = {
      prefix,
      respond: () => {
        watches.delete(entry);
        clearTimeout(entry.timer);
        send(response, 200, { events: newer(), store_revision: revision });
      },
    };
    if (newer().length > 0) {
      entry.respond();
      return;
    }
    entry.timer = setTimeout(entry.respond, Number(query.get('wait_ms')));
    watches.add(entry);
    response.once('close', () => {
      clearTimeout(entry.timer);
      watches.delete(entry);
    });
  };

  const commit = async (request, response) => {
    const {
      expected_rev: expected = [],
      writes = [],
      remove: removals = [],
    } = await readJson(request);
    const isOther = ({ key, revision: wanted }) => (items.get(key)?.revision ?? 0) !== wanted;
    if (expected.some(isOther)) {
      const current = expected.flatMap(({ key }) => items.get(key) ?? []);
      send(response, 412, { items: current });
      return;
    }
    if (writes.some(({ lease }) => lease > 0 && !leases.has(lease))) {
      send(response, 404, {});
      return;
    }
    for (const { key, value, lease } of writes) {
      write(key, value, lease);
    }
    removals.forEach(remove);
    send(response, 200, { revision });
  };

  const serve = async (request, response) => {
    const url = new URL(request.url, 'http://store');
    const [, , name, id] = url.pathname.split('/');
    switch (name) {
      case 'kv-range':
        range(url.searchParams, response);
        return;
      case 'kv-watch':
        watch(url.searchParams, response);
        return;
      case 'kv-key': {
        const item = items.get(url.searchParams.get('key'));
        send(response, item === undefined ? 404 : 200, { ...item, store_revision: revision });
        return;
      }
      case 'kv-txn':
        await commit(request, response);
        return;
      case 'kv-lease': {
        const { ttl_ms: ttlMs } = await readJson(request);
        const lease = nextLease;
        nextLease += 1;
        leases.set(lease, { ttlMs, endsAtMs: performance.now() + ttlMs, keys: new Set() });
        send(response, 200, { lease, ttl_ms: ttlMs });
        return;
      }
      case 'kv-keep': {
        const lease = leases.get(Number(id));
        if (lease !== undefined) {
          lease.endsAtMs = performance.now() + lease.ttlMs;
        }
        send(response, lease === undefined ? 404 : 200, {});
        return;
      }
      case 'kv-lease-end': {
        const isKnown = leases.has(Number(id));
        endLease(Number(id));
        send(response, isKnown ? 200 : 404, {});
        return;
      }
      default:
        send(response, 404, {});
    }
  };

  const server = createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 0;
  await new Promise((resolve) => server.listen(0, host, resolve));
  const leaseCheck = setInterval(() => {
    for (const [id, { endsAtMs }] of [...leases]) {
      if (endsAtMs < performance.now()) {
        endLease(id);
      }
    }
  }, 50);

  return {
    address: `${host}:${String(server.address().port)}`,
    put: (key, value) => {
      write(key, Buffer.from(JSON.stringify(value)).toString('base64'));
    },
    remove,
    revision: () => revision,
    keys: (prefix) => [...items.keys()].filter((key) => key.startsWith(prefix)),
    close: () => {
      clearInterval(leaseCheck);
      server.close();
      server.closeAllConnections();
    },
  };
};
