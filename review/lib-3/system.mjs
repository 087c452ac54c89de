import { fork, spawn } from 'node:child_process';
import { mkdtempSync, openSync, rmSync, writeFileSync } from 'node:fs';
import { request as httpRequest } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { startStore } from './store.mjs';

const root = fileURLToPath(new URL('../..', import.meta.url));
const engineProgram = fileURLToPath(new URL('./engine.mjs', import.meta.url));
const host = 'case.example';
const key = 'key-1';

/** Ports that systems don't give to outgoing connections; a port is given out once. */
const firstPort = 15_000;
const portCount = 15_000;
const takenPorts = new Set();

const canListen = (ip, port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, ip, () => {
      server.close(() => resolve(true));
    });
  });

const findPort = async (ip) => {
  for (;;) {
    const port = firstPort + Math.floor(Math.random() * portCount);
    if (!takenPorts.has(port) && (await canListen(ip, port))) {
      takenPorts.add(port);
      return port;
    }
  }
};

const bounds = {
  seed_lag_s: 3,
  reuse_after_s: 2,
  stable_window_ms: 3000,
  ack_ms: 4000,
  catch_up_s: 4,
  drain_ms: 2000,
  grace_s: 8,
  loss_slack_ms: 200,
  config_deadline_ms: 2000,
  rollback_slack_ms: 250,
  max_stretch_ms: 5000,
  strict_revoke: false,
  revoke_ms: 5000,
  budget_ratio: 0.2,
  budget_window_s: 10,
  budget_extra: 54,
  cold_excess: 1.5,
  cold_slack: 5,
  evac_ms: 5000,
  recover_s: 12,
  pass_ms: 120,
  retry_after_s: 4.6,
  ttl_max_s: 5,
};

const engineOf = {
  slots: 24,
  kv_capacity: 34_287,
  kv_token_bytes: 262_144,
  link_mbps: 38_000,
  stride: 4,
  moves: true,
  backups: true,
  handle_s: 5,
};

/** Routes with the figures of the deployment vtr-gent. */
const createConfiguration = () => ({
  version: 3,
  routes: [
    {
      name: 'report',
      host,
      path_prefix: '/report/',
      kind: 'streaming',
      timeout_ms: 39_000,
      goal_ms: 1800,
      gap_aim_ms: 180,
      priority: 0,
      service: 'llm',
      max_attempts: 1,
      sticky: true,
    },
    {
      name: 'note',
      host,
      path_prefix: '/note/',
      kind: 'non_idempotent',
      timeout_ms: 1500,
      goal_ms: 300,
      priority: 2,
      service: 'app',
      max_attempts: 1,
    },
  ],
  services: [
    { name: 'llm', health_path: '/healthz', max_conns: 222, cold_per_s: 32, engine: engineOf },
    { name: 'app', health_path: '/healthz', max_conns: 100 },
  ],
  limits: {
    max_header_bytes: 16_384,
    max_body_bytes: 4_194_304,
    header_timeout_ms: 3000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'office', api_keys: [key] }],
});

/** A store, workers and gateways of a small deployment on loopback, and a record of what they did. */
export const createSystem = async (recordFile) => {
  const folder = mkdtempSync(join(tmpdir(), 'case-'));
  const startedAtMs = Date.now();
  const children = new Set();
  const lines = [];
  const killAll = () => {
    for (const child of children) {
      child.kill('SIGKILL');
    }
  };
  for (const signal of ['SIGINT', 'SIGTERM']) {
    process.once(signal, () => {
      killAll();
      process.exit(2);
    });
  }
  const store = await startStore();
  const note = (text) => {
    lines.push(`${((Date.now() - startedAtMs) / 1000).toFixed(3).padStart(8)}  ${text}`);
  };
  store.put('op/config', createConfiguration());

  const register = (worker, service, changes = {}) => {
    store.put(`servers/${worker.id}`, {
      service,
      address: worker.address,
      zone: worker.zone,
      version: 'v1',
      slots: service === 'llm' ? 24 : 6,
      state: 'ready',
      cold_left_ms: 0,
      call_seq: 0,
      born: startedAtMs,
      ...changes,
    });
  };

  const startEngine = (id, zone, settings = {}) =>
    new Promise((resolve) => {
      const child = fork(engineProgram, [id], { stdio: ['ignore', 'ignore', 'ignore', 'ipc'] });
      children.add(child);
      child.once('exit', () => children.delete(child));
      const engine = { id, zone, child, address: '', log: [] };
      child.send(settings);
      child.on('message', (message) => {
        if (message.what === 'listens') {
          engine.address = message.address;
          register(engine, 'llm');
          resolve(engine);
          return;
        }
        engine.log.push(message);
        const { what, run, made, from, reason, backup, copy } = message;
        const details = { made, from, reason, backup, copy };
        note(`engine ${id}: ${what} ${run} ${JSON.stringify(details)}`);
      });
    });

  const startGateway = async (name, ip, zone) => {
    const ports = [];
    for (let index = 0; index < 4; index += 1) {
      ports.push(await findPort(ip));
    }
    const [front, ready, directory, first] = ports;
    const file = join(folder, `${name}.json`);
    const metrics = await findPort(ip);
    writeFileSync(
      file,
      JSON.stringify({
        node: name,
        role: 'gateway',
        machine_class: 'edge',
        serves: ['edge', 'directory'],
        ip,
        zone,
        region: 'be-north',
        zones: { 'gent-a': 'be-north', 'gent-b': 'be-north' },
        listen: {
          front: `${ip}:${String(front)}`,
          ready: `${ip}:${String(ready)}`,
          directory: `${ip}:${String(directory)}`,
        },
        port_range: [first, first + 15],
        seeds: [],
        bootstrap: true,
        in_tolerance: false,
        limits: { cpu_share: 0.675, cores: 1, memory_mb: 200, max_fds: 4100, link_mbps: 1000 },
        data_dir: null,
        discovery: 'platform',
        entry: 'directory',
        heartbeat_ms: 1200,
        contracts: ['base', 'drain', 'config', 'cost', 'retry', 'engine', 'stream', 'platform'],
        tolerate: { machines: 2, zones: 1, regions: 0 },
        bounds,
        platform: {
          address: store.address,
          form: 'kv',
          writes_per_s: 400,
          reads_per_s: 2000,
          history_s: 20,
          value_bytes: 1_048_576,
          ttl_min_ms: 1000,
        },
      }),
    );
    const log = openSync(join(folder, `${name}.log`), 'w');
    const flags = ['--max-old-space-size=110', '--expose-gc', '--max-semi-space-size=4'];
    const child = spawn(process.execPath, [...flags, 'target/gateway.mjs', String(metrics)], {
      cwd: root,
      env: { PATH: process.env.PATH, ZINNIAGRADE_NODE_FILE: file },
      stdio: ['ignore', log, log],
    });
    children.add(child);
    child.once('exit', (code, signal) => {
      children.delete(child);
      note(`gateway ${name}: process ends, ${String(signal ?? code)}`);
    });
    const isReady = () =>
      new Promise((resolve) => {
        const call = httpRequest({ host: ip, port: ready, path: '/api/readyz' }, (response) => {
          response.resume();
          resolve(response.statusCode === 200);
        });
        call.on('error', () => resolve(false));
        call.end();
      });
    const untilMs = Date.now() + 10_000;
    while (!(await isReady())) {
      if (Date.now() > untilMs) {
        throw new Error(`gateway ${name} is not ready after 10 s`);
      }
      await sleep(50);
    }
    return { name, ip, port: front, child, file };
  };

  return {
    store,
    note,
    register,
    startEngine,
    startGateway,
    folder,
    host,
    key,
    close: async (summary) => {
      note(summary);
      writeFileSync(recordFile, `${lines.join('\n')}\n`);
      killAll();
      store.close();
      await sleep(200);
      rmSync(folder, { recursive: true, force: true });
    },
  };
};

/** Sends a stream request and reads its events until the answer ends. */
export const readStream = (system, gateway, id, eventCount) =>
  new Promise((resolve) => {
    const events = [];
    let rest = '';
    const result = { id, status: 0, events, complete: false, sealed: false };
    const call = httpRequest(
      {
        host: gateway.ip,
        port: gateway.port,
        method: 'POST',
        path: `/report/${id}`,
        headers: {
          host: system.host,
          'x-zinniagrade-attempt-id': id,
          'x-zinniagrade-deadline-ms': '39000',
          'x-zinniagrade-model': 'm',
          'x-zinniagrade-token-usage': `400,${String(4 * eventCount)}`,
          'x-zinniagrade-prompt-prefix': `5c1e07a2:300,${id.replace(/[^0-9a-f]/g, '')}:100`,
          'api-key': system.key,
        },
      },
      (response) => {
        result.status = response.statusCode;
        result.sealed = response.headers['x-zinniagrade-instance-seal'] !== undefined;
        response.on('data', (chunk) => {
          rest += chunk.toString();
          for (let end = rest.indexOf('\n\n'); end >= 0; end = rest.indexOf('\n\n')) {
            const [, number, text] = /id: (\d+)\ndata: (.*)/.exec(rest.slice(0, end)) ?? [];
            events.push({ number: Number(number), text });
            rest = rest.slice(end + 2);
          }
        });
        response.on('error', () => undefined);
        response.on('close', () => {
          result.complete = response.complete;
          resolve(result);
        });
      },
    );
    call.on('error', () => resolve(result));
    call.end('a prompt');
  });
