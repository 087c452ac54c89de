// A gateway gets SIGTERM. For 4.6 s it goes on to accept verdicts, which may take until their route's
// timeout of 6 s; it ends 7.6 s after the SIGTERM and cuts those that are still being written.
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { performance } from 'node:perf_hooks';
import { startStore } from '../lib/store.mjs';
import { gatewayIp, isReady, runCase, sendRequest, sleep, waitUntil } from '../lib/system.mjs';
import { configuration, startEngine } from '../lib/worker.mjs';

const trouble = process.env.TROUBLE !== '0';
const zones = ['gent-a', 'gent-b', 'aalst', 'brugge'];
const verdictEvents = 9;
const deadlineMs = 6000;
/** Requests that were sent no later than this after the SIGTERM may be cut at the end of the grace. */
const excusedMs = 3000;
const graceMs = 8000;
const firstSendMs = -2000;
const lastSendMs = 3900;
const sendIntervalMs = 150;

await runCase(async ({ start }) => {
  const store = await startStore('127.0.0.1');
  const runs = [];
  const engines = [];
  for (const [index, zone] of zones.entries()) {
    engines.push(
      await startEngine(store, {
        id: `i-${String(index)}`,
        service: 'assessor-llm',
        zone,
        host: '127.0.0.1',
        runs,
        // A crowded but sound engine: the verdict is late, and whole after 4.4 s of its 6 s.
        firstEventMs: 1000,
        gapMs: 425,
        eventsOf: () => verdictEvents,
      }),
    );
  }
  store.put('op/config', configuration(1));
  const gateways = zones.slice(0, 3).map((zone, index) =>
    start({
      node: `edge-${zone}-1`,
      ip: gatewayIp(index),
      zone,
      zones,
      storeAddress: store.address,
    }),
  );
  for (const { ip } of gateways) {
    if (!(await waitUntil(() => isReady(ip), 15_000))) {
      return 2;
    }
  }
  await sleep(3000);

  const [stopped] = gateways;
  const termAtMs = performance.now() - firstSendMs;
  const answers = [];
  let exitedAtMs;
  void stopped.exited.then(() => {
    exitedAtMs = performance.now();
  });
  let terminated = false;
  for (let atMs = firstSendMs, index = 0; atMs <= lastSendMs; atMs += sendIntervalMs, index += 1) {
    await sleep(termAtMs + atMs - performance.now());
    if (trouble && !terminated && atMs >= 0) {
      terminated = true;
      stopped.signal('SIGTERM');
    }
    // Some clients keep what the directory said for three times its ttl, which is 6 s here.
    answers.push(
      sendRequest(stopped.address, {
        id: `verdict-${String(index)}`,
        path: '/wote118/2f',
        deadlineMs,
        headers: {
          'x-zinniagrade-model': 'm',
          'x-zinniagrade-token-usage': '600,40',
          'x-zinniagrade-prompt-prefix': `5c1e07a2:48,${(1000 + index).toString(16)}:552`,
        },
        body: 'p'.repeat(1200),
      }),
    );
  }
  const seen = await Promise.all(answers);
  await waitUntil(() => engines.every((engine) => engine.isIdle()), 10_000);
  const at = (ms) => (ms === undefined ? '-' : String(Math.round(ms - termAtMs)));
  const lines = [
    `trouble ${String(trouble)}; times in ms from the SIGTERM; gateway exited at ${at(exitedAtMs)}`,
  ];
  let broken = 0;
  let whole = 0;
  for (const { id, outcome, status, sentAtMs, endedAtMs, bytes } of seen) {
    const run = runs.find((entry) => entry.id === id);
    const events = [...bytes.matchAll(/^id: /gm)].length;
    const isWhole = outcome === 'answered' && status === 200 && events === verdictEvents;
    whole += isWhole ? 1 : 0;
    const isCut = outcome === 'cut' || outcome === 'no-answer';
    const isLost =
      trouble &&
      isCut &&
      run !== undefined &&
      run.how === 'dropped' &&
      sentAtMs - termAtMs > excusedMs &&
      endedAtMs - termAtMs <= graceMs + 1000 &&
      endedAtMs - sentAtMs < deadlineMs;
    broken += isLost ? 1 : 0;
    lines.push(
      `sent ${id} at ${at(sentAtMs)}: ${outcome} ${String(status)} at ${at(endedAtMs)}, ${String(events)} of ${String(verdictEvents)} events; run at ${run?.worker ?? '-'} from ${at(run?.startedAtMs)} to ${at(run?.endedAtMs)} (${run?.how ?? 'none'})${isLost ? ' LOST' : ''}`,
    );
  }
  lines.push(
    `whole: ${String(whole)} of ${String(seen.length)}; sent over ${String(excusedMs)} ms after the SIGTERM, run and cut: ${String(broken)}`,
  );
  writeFileSync(
    join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
    `${lines.join('\n')}\n`,
  );
  console.log(lines.at(-1));
  store.close();
  engines.forEach((engine) => engine.close());
  if (broken > 0) {
    return 1;
  }
  // Refusals are allowed; without the SIGTERM nothing may be cut.
  const cut = seen.filter(({ outcome }) => outcome !== 'answered').length;
  return trouble || (cut === 0 && whole > seen.length / 2) ? 0 : 2;
});
