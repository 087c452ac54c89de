// A worker that is emptied answers the call that copies its runs with bytes that have no end, until
// the caller closes. The gateway keeps all of them in memory and exceeds its limit.
import { Buffer } from 'node:buffer';
import { readFileSync, writeFileSync } from 'node:fs';
import { Agent } from 'node:http';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import { clearInterval, setInterval } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { startStore } from '../lib/store.mjs';
import { gatewayIp, isReady, runCase, sendRequest, sleep, waitUntil } from '../lib/system.mjs';
import { configuration, startApp, startEngine } from '../lib/worker.mjs';

const trouble = process.env.TROUBLE !== '0';
const zones = ['gent-a', 'gent-b', 'aalst', 'brugge'];
const engineCount = 8;
/** `memory_mb` of the machines; the platform kills a process that exceeds it. */
const memoryLimitMb = 200;
/** All bytes of the worker in trouble pass the gateway's own link of 1,000 Mbit/s, so at most this. */
const bytesPerMs = 100_000;
const writeIntervalMs = 10;
const drainAtMs = 4000;
const endAtMs = 12_000;
const lookupClients = 12;
/** LOST: "more than three times". */
const allowedLosses = 3;

/** Writes to all of these responses in turn, together at the rate of one link. */
const startEndlessAnswers = () => {
  const responses = new Set();
  const part = Buffer.alloc(bytesPerMs, 'x');
  let writtenBytes = 0;
  const timer = setInterval(() => {
    let budget = bytesPerMs * writeIntervalMs;
    for (const response of responses) {
      while (budget > 0 && response.writableLength < 1_000_000) {
        response.write(part);
        writtenBytes += part.length;
        budget -= part.length;
      }
    }
  }, writeIntervalMs);
  return {
    add: (response) => {
      response.writeHead(200, { 'content-type': 'application/json' });
      responses.add(response);
      response.once('close', () => responses.delete(response));
    },
    writtenMb: () => Math.round(writtenBytes / 1_000_000),
    stop: () => clearInterval(timer),
  };
};

await runCase(async ({ start }) => {
  const store = await startStore('127.0.0.1');
  const endless = startEndlessAnswers();
  const runs = [];
  const engines = [];
  let moves = 0;
  for (let index = 0; index < engineCount; index += 1) {
    const isInTrouble = trouble && index === 0;
    engines.push(
      await startEngine(store, {
        id: `i-${String(index)}`,
        service: 'assessor-llm',
        zone: zones[index % zones.length],
        host: '127.0.0.1',
        runs,
        gapMs: 40,
        eventsOf: () => 150,
        ...(isInTrouble
          ? {
              answerMove: (_body, response) => {
                moves += 1;
                endless.add(response);
              },
            }
          : {}),
      }),
    );
  }
  const apps = [];
  for (const [index, zone] of zones.entries()) {
    const id = `a-${String(index)}`;
    const options = { id, service: 'returns-app', zone, host: '127.0.0.1', runs, workMs: 250 };
    apps.push(await startApp(store, options));
  }
  store.put('op/config', configuration(1));
  const gateway = start({
    node: 'edge-gent-a-1',
    ip: gatewayIp(0),
    zone: 'gent-a',
    zones,
    storeAddress: store.address,
  });
  if (!(await waitUntil(() => isReady(gateway.ip), 15_000))) {
    return 2;
  }
  await sleep(3500);

  const startedAtMs = performance.now();
  const at = (ms) => (ms === undefined ? '-' : String(Math.round(ms - startedAtMs)));
  let killedAtMs;
  let peakMb = 0;
  // The platform: it reads the memory of the process and kills it above the limit.
  const memoryCheck = setInterval(() => {
    if (gateway.hasExited()) {
      return;
    }
    const text = readFileSync(`/proc/${String(gateway.pid)}/status`, 'utf8');
    const usedMb = Number(/VmRSS:\s+(\d+)/.exec(text)?.[1] ?? 0) / 1024;
    peakMb = Math.max(peakMb, Math.round(usedMb));
    if (usedMb > memoryLimitMb && killedAtMs === undefined) {
      killedAtMs = performance.now();
      gateway.signal('SIGKILL');
    }
  }, 20);

  const seen = [];
  const isOver = () => performance.now() - startedAtMs > endAtMs || killedAtMs !== undefined;
  /** A client with one kept connection. */
  const lookUp = async (client) => {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let index = 0; !isOver(); index += 1) {
      const id = `lookup-${String(client)}-${String(index)}`;
      const request = { id, method: 'GET', path: '/puxa403/2f', deadlineMs: 1500, agent };
      const answer = await sendRequest(gateway.address, request);
      seen.push({ ...answer, isOnKeptConnection: index > 0 });
      await sleep(20);
    }
    agent.destroy();
  };
  const report = (index) =>
    sendRequest(gateway.address, {
      id: `report-${String(index)}`,
      path: '/lohu930/2f',
      deadlineMs: 39_000,
      headers: {
        'x-zinniagrade-model': 'm',
        'x-zinniagrade-token-usage': '1460,600',
        'x-zinniagrade-prompt-prefix': `5c1e07a2:48,${(1000 + index).toString(16)}:1412`,
      },
      body: 'p'.repeat(1500),
    }).then((answer) => seen.push(answer));
  const streams = async () => {
    const answers = [];
    for (let index = 0; !isOver() && index < 60; index += 1) {
      answers.push(report(index));
      await sleep(120);
    }
    await Promise.all(answers);
  };
  const drain = async () => {
    await sleep(drainAtMs);
    engines[0].drain();
  };
  const clients = Array.from({ length: lookupClients }, (_, client) => lookUp(client));
  await Promise.all([...clients, streams(), drain()]);
  clearInterval(memoryCheck);
  endless.stop();

  const lines = [
    `trouble ${String(trouble)}; worker i-0 drains at ${String(drainAtMs)} ms; ${String(moves)} calls to copy a run were answered without end, ${String(endless.writtenMb())} MB written`,
    `gateway: memory at most ${String(peakMb)} MB of ${String(memoryLimitMb)}, killed by the platform at ${at(killedAtMs)} ms`,
  ];
  let lost = 0;
  let whole = 0;
  for (const { id, outcome, status, sentAtMs, endedAtMs, isOnKeptConnection } of seen) {
    const run = runs.find((entry) => entry.id === id);
    const isLost = outcome === 'no-answer' && isOnKeptConnection === true && run !== undefined;
    lost += isLost ? 1 : 0;
    whole += outcome === 'answered' && status === 200 ? 1 : 0;
    if (outcome !== 'answered') {
      lines.push(
        `sent ${id} at ${at(sentAtMs)} ms: ${outcome} ${String(status)} at ${at(endedAtMs)} ms; run at ${run?.worker ?? '-'}${isLost ? ' LOST' : ''}`,
      );
    }
  }
  lines.push(
    `answered with 200: ${String(whole)} of ${String(seen.length)}; from kept connections, run by sound workers and closed without an answer: ${String(lost)}`,
  );
  writeFileSync(
    join(dirname(fileURLToPath(import.meta.url)), 'record.txt'),
    `${lines.join('\n')}\n`,
  );
  console.log(lines.at(-1));
  if (process.env.REVIEW_LOG) {
    writeFileSync(process.env.REVIEW_LOG, gateway.log());
  }
  store.close();
  engines.forEach((engine) => engine.close());
  apps.forEach((app) => app.close());
  if (killedAtMs !== undefined && lost > allowedLosses) {
    return 1;
  }
  return killedAtMs === undefined && whole > seen.length / 2 ? 0 : 2;
});
