// The operator writes a configuration with 1,400 routes more. Only the few gateways that watch the
// store learn of it; the others get changes in frames of at most 256 KiB, and it fits into none.
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { performance } from 'node:perf_hooks';
import { startStore } from '../lib/store.mjs';
import { grownBounds, runCase, sendRequest, sleep, startFleet } from '../lib/system.mjs';
import { configuration, startApp } from '../lib/worker.mjs';

const trouble = process.env.TROUBLE !== '0';
const zones = ['gent-a', 'gent-b', 'aalst', 'brugge'];
const gatewayCount = 18;
/** `big_config` of the site adds 1,400 routes; without the disruption it is a small change. */
const addedRoutes = trouble ? 1400 : 40;
const deadlineMs = 1516;

const createAddedRoute = (index) => ({
  name: `r-${String(index)}`,
  host: 'ficu95.example',
  path_prefix: `/added${String(index)}/`,
  kind: 'non_idempotent',
  timeout_ms: 1500,
  goal_ms: 307,
  priority: 2,
  service: 'returns-app',
  max_attempts: 1,
  anonymous: false,
  sticky: false,
  resumable: false,
});

await runCase(async ({ start }) => {
  const store = await startStore('127.0.0.1');
  const runs = [];
  const apps = [];
  for (const [index, zone] of zones.entries()) {
    const id = `i-${String(index)}`;
    apps.push(await startApp(store, { id, service: 'returns-app', zone, host: '127.0.0.1', runs }));
  }
  const tenants = [
    { name: 'huka270', api_keys: ['key-1'] },
    { name: 'gole204', api_keys: ['key-2'] },
  ];
  store.put('op/config', configuration(1, { tenants }));
  const gateways = await startFleet(start, store.address, zones, gatewayCount);
  if (gateways === undefined) {
    return 2;
  }
  // All machines are in touch, and their links are open.
  await sleep(6000);

  const startedAtMs = performance.now();
  const at = (ms) => String(Math.round(ms - startedAtMs));
  const routes = [
    ...configuration(1).routes,
    ...Array.from({ length: addedRoutes }, (_, index) => createAddedRoute(index)),
  ];
  const larger = configuration(2, { tenants, routes });
  store.put('op/config', larger);
  const lines = [
    `trouble ${String(trouble)}; version 2 with ${String(routes.length)} routes, ${String(JSON.stringify(larger).length)} bytes, acknowledged at ${at(performance.now())} ms`,
  ];

  const askAll = (name, request) =>
    Promise.all(
      gateways.map(async (gateway) => {
        const id = `${name}-${gateway.node}`;
        const seen = await sendRequest(gateway.address, { id, deadlineMs, body: '{}', ...request });
        const hasRun = runs.some((run) => run.id === id);
        lines.push(
          `sent ${id} at ${at(seen.sentAtMs)} ms: ${seen.outcome} ${String(seen.status)} at ${at(seen.endedAtMs)} ms${hasRun ? ', run' : ''}`,
        );
        return { ...seen, hasRun };
      }),
    );

  await sleep(grownBounds.config_deadline_ms + 2000);
  const onNewRoute = await askAll('new-route', { path: '/added7/2f' });
  const refused = onNewRoute.filter(({ status }) => status === 404).length;

  // The next version takes a key away.
  const [kept] = tenants;
  store.put(
    'op/config',
    configuration(3, { tenants: [kept, { name: 'gole204', api_keys: [] }], routes }),
  );
  lines.push(`version 3 without key-2 acknowledged at ${at(performance.now())} ms`);
  await sleep(grownBounds.config_deadline_ms + 2000);
  const withOldKey = await askAll('withdrawn-key', {
    path: '/pule252/2f',
    headers: { 'api-key': 'key-2' },
  });
  const ranWithOldKey = withOldKey.filter(({ hasRun }) => hasRun).length;

  const broken = refused + ranWithOldKey;
  lines.push(
    `of ${String(gatewayCount)} gateways, ${String(refused)} refuse the new route with 404, ${String(ranWithOldKey)} run a request with the withdrawn key`,
  );
  writeFileSync(
    join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
    `${lines.join('\n')}\n`,
  );
  console.log(lines.at(-1));
  store.close();
  apps.forEach((app) => app.close());
  if (broken > 0) {
    return 1;
  }
  return onNewRoute.every(({ status }) => status === 200) ? 0 : 2;
});
