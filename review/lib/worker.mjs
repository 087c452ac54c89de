// Stand-ins of workers as PROTOCOL.md has them: a plain application and a model engine.
import { createServer } from 'node:http';
import { Buffer } from 'node:buffer';
import { clearInterval, clearTimeout, setInterval, setTimeout } from 'node:timers';
import { performance } from 'node:perf_hooks';

const heartbeatMs = 1200;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
};

/** Listens at a free port; `serve` gets each request with its body. */
const listen = async (host, serve) => {
  const server = createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 10_000;
  await new Promise((resolve) => server.listen(0, host, resolve));
  return { server, address: `${host}:${String(server.address().port)}` };
};

/** Registers a worker in the store and renews the entry until it is closed. */
const register = (store, worker) => {
  const born = Date.now();
  let callSeq = 0;
  const write = () => {
    callSeq += 1;
    store.put(`servers/${worker.id}`, {
      service: worker.service,
      address: worker.address,
      zone: worker.zone,
      version: 'v1',
      slots: worker.slots,
      state: worker.state,
      cold_left_ms: 0,
      call_seq: callSeq,
      born,
    });
  };
  write();
  const timer = setInterval(write, heartbeatMs);
  return { write, stop: () => clearInterval(timer) };
};

/**
 * Starts a plain application. `answer(request, response, run)` may answer a request in another way
 * than after `workMs`; `runs` gets an entry for each request that the worker began to work on.
 */
export const startApp = async (store, options) => {
  const { id, service, zone, host, slots = 6, workMs = 80, runs, answer } = options;
  const worker = { id, service, zone, slots, state: 'ready', address: '' };
  const serve = async (request, response) => {
    const body = await readBody(request);
    const attempt = request.headers['x-zinniagrade-attempt-id'];
    if (request.headers['x-zinniagrade-expect-instance'] !== id) {
      response.writeHead(421, { 'X-Zinniagrade-Instance-Id': id, 'Content-Length': 0 }).end();
      return;
    }
    const run = { id: attempt, worker: id, startedAtMs: performance.now(), body };
    runs.push(run);
    const finish = () => {
      run.endedAtMs ??= performance.now();
      const text = `done ${attempt}`;
      response.writeHead(200, {
        'X-Zinniagrade-Attempt-Id': attempt,
        'X-Zinniagrade-Instance-Seal': `seal-${attempt}`,
        'Content-Length': text.length,
      });
      response.end(text);
    };
    if (answer !== undefined) {
      answer(request, response, run, finish);
      return;
    }
    const timer = setTimeout(finish, workMs);
    response.once('close', () => {
      run.endedAtMs ??= performance.now();
      clearTimeout(timer);
    });
  };
  const { server, address } = await listen(host, serve);
  worker.address = address;
  const registration = register(store, worker);
  return {
    ...worker,
    close: () => {
      registration.stop();
      server.close();
      server.closeAllConnections();
    },
  };
};

/** Backup copies of all engines: address of the holder and id of the run. */
const backups = new Map();

/**
 * Starts a model engine. It reads a prompt in `firstEventMs`, then writes `events` events, one each
 * `gapMs`. `dropsOnClose`: whether it ends a run when the connection closes, as most workers do.
 */
export const startEngine = async (store, options) => {
  const { id, service, zone, host, slots = 24, runs, dropsOnClose = true } = options;
  const { firstEventMs = 300, gapMs = 30, eventsOf } = options;
  const worker = { id, service, zone, slots, state: 'ready', address: '' };
  const open = new Map();
  const copies = new Map();
  let nextHandle = 1;

  const report = () => ({
    stage: 'both',
    models: [{ name: 'm', version: 1, adapters: [] }],
    busy: false,
    call_seq: 0,
    queued: 0,
    running: open.size,
    kv_used: open.size * 3000,
    kv_total: 34_287,
    handles: copies.size,
    state: worker.state,
    next_token: 0,
    runs: [...open.values()].map((run) => [run.id, 3000, run.events, 5]),
  });

  const sendJson = (response, status, body) => {
    const text = JSON.stringify(body);
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  };

  /** Copies a run to another engine; with `last` the run stops first. */
  const move = (body, response) => {
    const { id: runId, target, last } = JSON.parse(body);
    const run = open.get(runId);
    if (run === undefined) {
      sendJson(response, 404, {});
      return;
    }
    if (last === true) {
      run.stop();
    }
    setTimeout(() => {
      const handle = `h${String(nextHandle)}`;
      nextHandle += 1;
      copies.set(handle, { target, runId });
      backups.set(`${target}/${worker.address}/${handle}`, runId);
      sendJson(response, 200, { handle, created: run.events });
    }, 100);
  };

  const generate = (request, response, attempt, from) => {
    const total = eventsOf(request);
    const run = { id: attempt, worker: id, startedAtMs: performance.now(), events: from, total };
    const holder = request.headers['x-zinniagrade-kv-backup'];
    runs.push(run);
    open.set(attempt, run);
    let timer;
    const end = (how) => {
      if (run.endedAtMs === undefined) {
        run.endedAtMs = performance.now();
        run.how = how;
        open.delete(attempt);
        clearTimeout(timer);
      }
    };
    run.stop = () => {
      end('stopped');
      response.destroy();
    };
    const step = () => {
      run.events += 1;
      if (holder !== undefined) {
        backups.set(`${holder}/${attempt}`, attempt);
      }
      const number = String(run.events);
      if (!response.destroyed) {
        if (!response.headersSent) {
          response.writeHead(200, {
            'content-type': 'text/event-stream',
            'X-Zinniagrade-Attempt-Id': attempt,
            'X-Zinniagrade-Instance-Seal': `seal-${attempt}`,
          });
        }
        response.write(`id: ${number}\ndata: ${attempt} ${number} of ${String(total)}\n\n`);
      }
      if (run.events >= total) {
        end('complete');
        response.end();
        return;
      }
      timer = setTimeout(step, gapMs);
    };
    timer = setTimeout(step, from > 0 ? gapMs : firstEventMs);
    response.once('close', () => {
      if (run.endedAtMs === undefined) {
        run.closedAtMs = performance.now();
        if (dropsOnClose) {
          end('dropped');
        }
      }
    });
  };

  const serve = async (request, response) => {
    const body = await readBody(request);
    if (request.url === '/api/report') {
      sendJson(response, 200, report());
      return;
    }
    if (request.url === '/api/kv-move') {
      (options.answerMove ?? move)(body, response);
      return;
    }
    if (request.url.startsWith('/api/kv-handle/')) {
      copies.delete(request.url.split('/').pop());
      sendJson(response, 200, {});
      return;
    }
    const attempt = request.headers['x-zinniagrade-attempt-id'];
    if (request.headers['x-zinniagrade-expect-instance'] !== id) {
      response.writeHead(421, { 'X-Zinniagrade-Instance-Id': id, 'Content-Length': 0 }).end();
      return;
    }
    const source = request.headers['kv-from'];
    if (source === undefined) {
      generate(request, response, attempt, 0);
      return;
    }
    // A backup is named by this engine's own address, a copy that was moved by its source's.
    const known = source.startsWith(`${worker.address}/`)
      ? backups.get(source)
      : backups.get(`${worker.address}/${source}`);
    if (known !== attempt) {
      response.writeHead(503, {
        'X-Zinniagrade-Not-Executed': '1',
        'X-Zinniagrade-Attempt-Id': attempt,
        'Content-Length': 0,
      });
      response.end();
      return;
    }
    generate(request, response, attempt, Number(request.headers['last-event-id'] ?? 0));
  };

  const { server, address } = await listen(host, serve);
  // What others use is the address of a proxy, if there is one.
  worker.address = options.proxyOf === undefined ? address : await options.proxyOf(address);
  const registration = register(store, worker);
  return {
    ...worker,
    isIdle: () => open.size === 0,
    drain: () => {
      worker.state = 'draining';
      registration.write();
    },
    close: () => {
      registration.stop();
      server.close();
      server.closeAllConnections();
    },
  };
};

/** Routes, services and tenants of a small deployment, with the figures of the site's sheet. */
export const configuration = (version, changes = {}) => ({
  version,
  routes: [
    {
      name: 'condition-report',
      host: 'ficu95.example',
      path_prefix: '/lohu930/',
      kind: 'streaming',
      timeout_ms: 39_000,
      goal_ms: 1800,
      gap_aim_ms: 180,
      priority: 0,
      service: 'assessor-llm',
      max_attempts: 1,
      sticky: true,
    },
    {
      name: 'reuse-verdict',
      host: 'ficu95.example',
      path_prefix: '/wote118/',
      kind: 'streaming',
      timeout_ms: 6000,
      goal_ms: 1500,
      gap_aim_ms: 180,
      priority: 1,
      service: 'assessor-llm',
      max_attempts: 1,
      sticky: true,
    },
    {
      name: 'credit-note',
      host: 'ficu95.example',
      path_prefix: '/pule252/',
      kind: 'non_idempotent',
      timeout_ms: 800,
      goal_ms: 300,
      priority: 2,
      service: 'returns-app',
      max_attempts: 1,
    },
    {
      name: 'status-lookup',
      host: 'ficu95.example',
      path_prefix: '/puxa403/',
      kind: 'idempotent',
      timeout_ms: 800,
      goal_ms: 300,
      priority: 2,
      service: 'returns-app',
      max_attempts: 2,
    },
  ],
  services: [
    {
      name: 'assessor-llm',
      health_path: '/healthz',
      max_conns: 222,
      cold_per_s: 32,
      engine: {
        slots: 24,
        kv_capacity: 34_287,
        kv_token_bytes: 262_144,
        link_mbps: 38_000,
        stride: 4,
        moves: true,
        backups: true,
        handle_s: 10,
      },
    },
    { name: 'returns-app', health_path: '/healthz', max_conns: 100 },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'huka270', api_keys: ['key-1'] }],
  ...changes,
});
