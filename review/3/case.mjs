// The open connections to one worker go silent for good; new ones work. After 5.8 s the gateway closes
// the silent connection, which the worker can't notice, and continues the stream at another worker.
import { writeFileSync } from 'node:fs';
import { dirname, join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { performance } from 'node:perf_hooks';
import { startStore } from '../lib/store.mjs';
import { gatewayIp, isReady, runCase, sendRequest, sleep, waitUntil } from '../lib/system.mjs';
import { startProxy } from '../lib/proxy.mjs';
import { configuration, startEngine } from '../lib/worker.mjs';

const trouble = process.env.TROUBLE !== '0';
const zones = ['gent-a', 'gent-b', 'aalst', 'brugge'];
const engineCount = 10;
const streamCount = 20;
const eventCount = 400;
const deadlineMs = 39_000;
const silentAtMs = 3000;
/** TWICE: "while the worker before still works on it 400 ms later". */
const overlapBoundMs = 400;

await runCase(async ({ folder, start }) => {
  const store = await startStore('127.0.0.1');
  const runs = [];
  const engines = [];
  let proxy;
  for (let index = 0; index < engineCount; index += 1) {
    engines.push(
      await startEngine(store, {
        id: `i-${String(index)}`,
        service: 'assessor-llm',
        zone: zones[index % zones.length],
        host: '127.0.0.1',
        runs,
        gapMs: 40,
        eventsOf: () => eventCount,
        // All workers drop a request when its connection closes.
        dropsOnClose: true,
        ...(index === 0
          ? {
              proxyOf: async (address) => {
                proxy = await startProxy('127.0.0.1', address);
                return proxy.address;
              },
            }
          : {}),
      }),
    );
  }
  store.put('op/config', configuration(1));
  const gateways = zones.slice(0, 2).map((zone, index) =>
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

  const startedAtMs = performance.now();
  const answers = [];
  for (let index = 0; index < streamCount; index += 1) {
    const { address } = gateways[index % gateways.length];
    const request = {
      id: `report-${String(index)}`,
      path: '/lohu930/2f',
      deadlineMs,
      headers: {
        'x-zinniagrade-model': 'm',
        'x-zinniagrade-token-usage': '1460,1600',
        'x-zinniagrade-prompt-prefix': `5c1e07a2:48,${(1000 + index).toString(16)}:1412`,
      },
      body: 'p'.repeat(1500),
    };
    answers.push(sendRequest(address, request));
    await sleep(60);
  }
  await sleep(silentAtMs - (performance.now() - startedAtMs));
  const silencedAtMs = performance.now();
  const silenced = trouble ? proxy.silence() : 0;
  const seen = await Promise.all(answers);
  // The worker goes on until its last run has ended.
  await waitUntil(() => engines.every((engine) => engine.isIdle()), 20_000);

  const lines = [
    `trouble ${String(trouble)}; ${String(silenced)} open connections to worker i-0 go silent at ${String(Math.round(silencedAtMs - startedAtMs))} ms`,
  ];
  const at = (ms) => (ms === undefined ? '-' : String(Math.round(ms - startedAtMs)));
  let broken = 0;
  let whole = 0;
  for (const { id, outcome, status, sentAtMs, endedAtMs, bytes } of seen) {
    const ids = [...bytes.matchAll(/^id: (\d+)$/gm)].map((match) => Number(match[1]));
    const isWhole = outcome === 'answered' && ids.every((value, index) => value === index + 1);
    whole += isWhole && ids.length === eventCount ? 1 : 0;
    lines.push(
      `sent ${id} at ${at(sentAtMs)} ms: ${outcome} ${String(status)} at ${at(endedAtMs)} ms, ${String(ids.length)} events`,
    );
    const ofRequest = runs.filter((run) => run.id === id);
    for (const run of ofRequest) {
      lines.push(
        `  run at ${run.worker} from ${at(run.startedAtMs)} ms, connection closed at ${at(run.closedAtMs)} ms, ended at ${at(run.endedAtMs)} ms (${run.how}), ${String(run.events)} events`,
      );
    }
    for (const [index, later] of ofRequest.entries()) {
      const before = ofRequest[index - 1];
      const overlapMs = before === undefined ? 0 : before.endedAtMs - later.startedAtMs;
      if (overlapMs > overlapBoundMs) {
        broken += 1;
        lines.push(
          `  TWICE: ${before.worker} still worked ${String(Math.round(overlapMs))} ms after ${later.worker} went on`,
        );
      }
    }
  }
  lines.push(
    `streams whole: ${String(whole)} of ${String(streamCount)}; at two workers for over ${String(overlapBoundMs)} ms: ${String(broken)}`,
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
  proxy.close();
  engines.forEach((engine) => engine.close());
  void folder;
  if (broken > 0) {
    return 1;
  }
  return whole === streamCount ? 0 : 2;
});
