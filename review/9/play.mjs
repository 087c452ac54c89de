import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { send } from '../lib-2/client.mjs';
import { configuration } from '../lib-2/configuration.mjs';
import { Gateway } from '../lib-2/gateway.mjs';
import { note, now, writeRecord } from '../lib-2/record.mjs';
import { Store } from '../lib-2/store.mjs';
import { streamEvents, Worker } from '../lib-2/worker.mjs';

const isTrouble = process.env.TROUBLE !== '0';
/**
 * With RAISE=1 the route's time-out is 3 s, which fits into the grace period, and reports take so long
 * that two of them don't; a version raises the time-out right after the long report was sent.
 */
const isRaised = process.env.RAISE === '1';
const graceMs = 8000;
const zones = ['gent-a', 'gent-b'];
const gapMs = 30;
const shortEvents = isRaised ? 70 : 20;
const longEvents = 200;

const store = await new Store().start();
const firstConfiguration = configuration(7);
if (isRaised) {
  firstConfiguration.routes[0].timeout_ms = 3000;
}
store.put('op/config', firstConfiguration);
/** The client's limit on the output tells how long the answer gets; an event holds 4 tokens. */
const eventsOf = (request) =>
  Number(request.headers['x-zinniagrade-token-usage'].split(',')[1]) / 4;
const workers = [];
for (const [index, zone] of zones.entries()) {
  const worker = new Worker(`i-llm-${String(index)}`, 'llm', zone, streamEvents(eventsOf, gapMs));
  await worker.start();
  workers.push(worker);
  store.put(`servers/${worker.id}`, worker.registration());
}
const gateways = [];
for (const [index, zone] of zones.entries()) {
  gateways.push(await Gateway.start(`edge-${String(index)}`, zone, zones, store.address));
}

const report = (gateway, events) =>
  send(gateway.front, {
    method: 'POST',
    path: '/report/2f',
    headers: {
      'x-zinniagrade-model': 'm',
      'x-zinniagrade-token-usage': `1000,${String(events * 4)}`,
      'x-zinniagrade-length-hint': String(events * 4),
      'x-zinniagrade-prompt-prefix': `5c1e07a2:800,${Math.floor(now()).toString(16)}:200`,
    },
    body: 'x'.repeat(600),
    deadlineMs: 39_000,
  });

let exitCode = 2;
try {
  await Promise.all(gateways.map((gateway) => gateway.whenReady()));
  const [gateway] = gateways;
  await sleep(3000);
  const short = [];
  for (let index = 0; index < 8; index += 1) {
    short.push(report(gateway, shortEvents));
    await sleep(400);
  }
  const shortAnswers = await Promise.all(short);
  const termAtMs = now();
  if (isTrouble) {
    note(`${gateway.name} gets SIGTERM`);
    gateway.child.kill('SIGTERM');
  }
  // A client that keeps the directory's answer for three times its 2 s connects anew.
  await sleep(3300);
  const sending = report(gateway, longEvents);
  if (isRaised) {
    await sleep(300);
    store.put('op/config', configuration(9));
    note('version 9, with a time-out of 39 s, is acknowledged');
  }
  const long = await sending;
  if (isTrouble) {
    await gateway.ended;
    note(`${gateway.name} has ended`);
  }
  const arrivals = new Map(
    workers.flatMap((worker) => worker.arrivals.map(({ id, atMs }) => [id, { worker, atMs }])),
  );
  for (const answer of [...shortAnswers, long]) {
    note(`${answer.id} is sent to ${gateway.name}`, answer.sentAtMs);
    const arrival = arrivals.get(answer.id);
    if (arrival !== undefined) {
      note(`${answer.id} reaches ${arrival.worker.id}`, arrival.atMs);
    }
    note(
      `${answer.id} ends: status ${String(answer.status)}, ${String(answer.events)} events, ` +
        `complete ${String(answer.complete)} (${answer.reason})`,
      answer.endedAtMs,
    );
  }
  const sentAfterMs = long.sentAtMs - termAtMs;
  const isRead = arrivals.has(long.id);
  const isWhole = long.status === 200 ? long.complete && long.events === longEvents : long.complete;
  const ran = shortAnswers.every(({ status, complete }) => status === 200 && complete);
  exitCode = !ran ? 2 : isRead && !isWhole ? 1 : 0;
  writeRecord(fileURLToPath(new URL('record.txt', import.meta.url)), [
    `trouble: ${String(isTrouble)}; ${String(shortAnswers.length)} short reports, the longest took ` +
      `${String(Math.round(Math.max(...shortAnswers.map((a) => a.endedAtMs - a.sentAtMs))))} ms`,
    `the long report was sent ${String(Math.round(sentAfterMs))} ms after SIGTERM (grace ${String(graceMs)} ms), ` +
      `passed on: ${String(isRead)}, status ${String(long.status)}, events ${String(long.events)} of ${String(longEvents)}, ` +
      `complete: ${String(long.complete)}, ended ${String(Math.round(long.endedAtMs - termAtMs))} ms after SIGTERM`,
    exitCode === 1 ? 'LOST is broken' : exitCode === 0 ? 'LOST holds' : 'the case could not run',
  ]);
} catch (error) {
  console.log(String(error));
} finally {
  await Promise.all(gateways.map((gateway) => gateway.kill()));
  store.stop();
  process.exit(exitCode);
}
