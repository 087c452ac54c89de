// A gateway stands still for 2.6 s, and a zone is evacuated meanwhile. After that the gateway hears of
// every later change from the others, but never of the evacuation: it goes on to use the zone.
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { performance } from 'node:perf_hooks';
import { startStore } from '../lib/store.mjs';
import { grownBounds, runCase, sendRequest, sleep, startFleet } from '../lib/system.mjs';
import { configuration, startApp } from '../lib/worker.mjs';

const trouble = process.env.TROUBLE !== '0';
const zones = ['gent-a', 'gent-b', 'aalst', 'brugge'];
const evacuated = 'brugge';
const gatewayCount = 20;
const rounds = 6;
/** Two of 20 machines at a time: `node_freeze` has a share of 0.1 and 5 s. */
const frozenCount = 2;
const freezeMs = 2600;
const evacuateAfterMs = 2000;
/** Of a `config_storm`: a change each 0.33 s for 4 s. */
const stormGapMs = 330;
const stormMs = 4000;
const requestsPerRound = 20;

await runCase(async ({ start }) => {
  const store = await startStore('127.0.0.1');
  const runs = [];
  const apps = [];
  for (const [index, zone] of zones.entries()) {
    const id = `i-${String(index)}`;
    apps.push(await startApp(store, { id, service: 'returns-app', zone, host: '127.0.0.1', runs }));
  }
  const zoneOf = new Map(apps.map(({ id, zone }) => [id, zone]));
  let version = 1;
  store.put('op/config', configuration(version));
  const gateways = await startFleet(start, store.address, zones, gatewayCount);
  if (gateways === undefined) {
    return 2;
  }
  await sleep(6000);

  const startedAtMs = performance.now();
  const at = (ms) => String(Math.round(ms - startedAtMs));
  const lines = [`trouble ${String(trouble)}`];
  let broken = 0;
  let answered = 0;

  const storm = async () => {
    for (let atMs = 0; atMs < stormMs; atMs += stormGapMs) {
      version += 1;
      store.put('op/config', configuration(version));
      await sleep(stormGapMs);
    }
  };

  for (let round = 0; round < rounds; round += 1) {
    const frozen = gateways.filter((_, index) => index >= 8 && index % rounds === round);
    const stopped = frozen.slice(0, frozenCount);
    const stoppedAtMs = performance.now();
    if (trouble) {
      stopped.forEach((gateway) => gateway.signal('SIGSTOP'));
    }
    await sleep(evacuateAfterMs);
    store.put(`op/evacuate/${evacuated}`, {});
    const acknowledgedAtMs = performance.now();
    const changes = storm();
    await sleep(freezeMs - (performance.now() - stoppedAtMs));
    stopped.forEach((gateway) => gateway.signal('SIGCONT'));
    const resumedAtMs = performance.now();
    await changes;
    lines.push(
      `round ${String(round)}: ${stopped.map(({ node }) => node).join()} stopped from ${at(stoppedAtMs)} to ${at(resumedAtMs)} ms, ${evacuated} evacuated at ${at(acknowledgedAtMs)} ms`,
    );
    // In touch again, and later than the bound after the acknowledgement.
    const checkAtMs = Math.max(
      resumedAtMs + grownBounds.stable_window_ms,
      acknowledgedAtMs + grownBounds.evac_ms,
    );
    await sleep(checkAtMs + 500 - performance.now());
    let late = 0;
    for (const gateway of stopped) {
      for (let index = 0; index < requestsPerRound; index += 1) {
        const id = `lookup-${String(round)}-${gateway.node}-${String(index)}`;
        const request = { id, method: 'GET', path: '/puxa403/2f', deadlineMs: 1513 };
        const seen = await sendRequest(gateway.address, request);
        answered += seen.status === 200 ? 1 : 0;
        const reached = runs.filter((run) => run.id === id);
        const isLate = reached.some((run) => zoneOf.get(run.worker) === evacuated);
        late += isLate ? 1 : 0;
        lines.push(
          `  sent ${id} at ${at(seen.sentAtMs)} ms: ${seen.outcome} ${String(seen.status)}, run at ${reached.map(({ worker }) => `${worker} (${zoneOf.get(worker)})`).join()}${isLate ? ' EVAC' : ''}`,
        );
      }
    }
    broken += late;
    lines.push(
      `  ${String(late)} of ${String(requestsPerRound * stopped.length)} reached ${evacuated}`,
    );
    store.remove(`op/evacuate/${evacuated}`);
    await sleep(1000);
  }
  lines.push(
    `requests that reached the evacuated zone over ${String(grownBounds.evac_ms)} ms after the acknowledgement: ${String(broken)} of ${String(rounds * frozenCount * requestsPerRound)}`,
  );
  writeFileSync(
    join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
    `${lines.join('\n')}\n`,
  );
  console.log(lines.at(-1));
  if (process.env.REVIEW_LOG) {
    writeFileSync(process.env.REVIEW_LOG, gateways.map((gateway) => gateway.log()).join(''));
  }
  store.close();
  apps.forEach((app) => app.close());
  if (broken > 0) {
    return 1;
  }
  return answered > 0 ? 0 : 2;
});
