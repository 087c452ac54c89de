import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import { clearTimeout, setInterval, setTimeout } from 'node:timers';

/**
 * The platform's metadata store in memory: keys with revisions, leases, transactions and watches, as
 * PROTOCOL.md describes them. It loses nothing and answers at once.
 */
export const startStore = async () => {
  const items = new Map();
  const leases = new Map();
  const watches = new Set();
  let changes = [];
  let revision = 1;
  let nextLease = 1;

  const record = (change) => {
    changes.push(change);
    changes = changes.slice(-5000);
    for (const watch of [...watches]) {
      if (change.key.startsWith(watch.prefix)) {
        watch.answer();
      }
    }
  };
  const put = (key, value, lease) => {
    revision += 1;
    const created = items.get(key)?.created ?? revision;
    const item = { key, value, revision, created, lease };
    items.set(key, item);
    record(item);
  };
  const remove = (key) => {
    if (items.delete(key)) {
      revision += 1;
      record({ key, revision, tombstone: true });
    }
  };
  const endLease = (id) => {
    leases.delete(id);
    for (const item of [...items.values()]) {
      if (item.lease === id) {
        remove(item.key);
      }
    }
  };
  const leaseTimer = setInterval(() => {
    for (const [id, lease] of [...leases]) {
      if (lease.endsAtMs < Date.now()) {
        endLease(id);
      }
    }
  }, 50);
  leaseTimer.unref();

  const send = (response, status, body) => {
    response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body));
  };
  const range = (query, response) => {
    const prefix = query.get('path_prefix') ?? '';
    const after = query.get('after') ?? '';
    const found = [...items.values()]
      .filter(({ key }) => key.startsWith(prefix) && key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    send(response, 200, {
      items: found.slice(0, 500),
      more_pages: found.length > 500,
      store_revision: revision,
    });
  };
  const watch = (query, response) => {
    const prefix = query.get('path_prefix') ?? '';
    const after = Number(query.get('after'));
    const events = () =>
      changes.filter((change) => change.revision > after && change.key.startsWith(prefix));
    const pending = { prefix };
    const end = () => {
      watches.delete(pending);
      clearTimeout(timer);
    };
    pending.answer = () => {
      end();
      send(response, 200, { events: events(), store_revision: revision });
    };
    const timer = setTimeout(pending.answer, Number(query.get('wait_ms')));
    watches.add(pending);
    response.on('close', end);
    if (events().length > 0) {
      pending.answer();
    }
  };
  const commit = (body, response) => {
    const current = (key) => items.get(key)?.revision ?? 0;
    if (body.expected_rev.some((row) => current(row.key) !== row.revision)) {
      send(response, 412, { items: body.expected_rev.flatMap(({ key }) => items.get(key) ?? []) });
      return;
    }
    if (body.writes.some(({ lease }) => lease && !leases.has(lease))) {
      send(response, 404, {});
      return;
    }
    for (const { key, value, lease } of body.writes) {
      put(key, value, lease ?? 0);
    }
    body.remove.forEach(remove);
    send(response, 200, { revision });
  };
  const leaseCall = (path, response) => {
    const id = Number(path.slice(path.lastIndexOf('/') + 1));
    const lease = leases.get(id);
    if (lease === undefined) {
      send(response, 404, {});
      return;
    }
    lease.endsAtMs = Date.now() + lease.ttlMs;
    if (path.startsWith('/api/kv-lease-end/')) {
      endLease(id);
    }
    send(response, 200, {});
  };

  const server = createServer(async (request, response) => {
    const chunks = [];
    for await (const chunk of request) {
      chunks.push(chunk);
    }
    const url = new URL(request.url, 'http://store');
    const text = Buffer.concat(chunks).toString();
    const body = text === '' ? {} : JSON.parse(text);
    switch (url.pathname) {
      case '/api/kv-range':
        return range(url.searchParams, response);
      case '/api/kv-watch':
        return watch(url.searchParams, response);
      case '/api/kv-txn':
        return commit(body, response);
      case '/api/kv-lease': {
        nextLease += 1;
        leases.set(nextLease, { ttlMs: body.ttl_ms, endsAtMs: Date.now() + body.ttl_ms });
        return send(response, 200, { lease: nextLease, ttl_ms: body.ttl_ms });
      }
      default:
        return leaseCall(url.pathname, response);
    }
  });
  await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    address: `127.0.0.1:${String(server.address().port)}`,
    put: (key, document) => put(key, Buffer.from(JSON.stringify(document)).toString('base64'), 0),
    remove,
    close: () => {
      server.closeAllConnections();
      server.close();
    },
  };
};
