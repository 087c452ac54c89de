import { fork } from 'node:child_process';
import { Agent } from 'node:http';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { send } from './client.mjs';
import { configuration } from './configuration.mjs';
import { Gateway } from './gateway.mjs';
import { note, now, writeRecord } from './record.mjs';
import { Store } from './store.mjs';
import { answerAfter, streamEvents, Worker } from './worker.mjs';

/**
 * One gateway, three sound workers of a plain service and eight model workers, one of which gets into
 * trouble. The script's arguments are what it sends without end, and the file of the record.
 */
const [flood, recordFile] = process.argv.slice(2);
const isTrouble = process.env.TROUBLE !== '0';
/** Half of the requests go over connections that are kept open, the others over new ones. */
const agent = new Agent({ keepAlive: true });
const timeoutMs = 800;
const slackMs = 500;
const zones = ['gent-a'];

const store = await new Store().start();
store.put('op/config', configuration(7));
for (const [index, zone] of ['gent-a', 'gent-b', 'aalst'].entries()) {
  const worker = new Worker(`i-app-${String(index)}`, 'app', zone, answerAfter(60), { slots: 6 });
  await worker.start();
  store.put(`servers/${worker.id}`, worker.registration());
}
const soundZones = ['gent-b', 'gent-b', 'gent-b', 'aalst', 'aalst', 'brugge', 'brugge'];
for (const [index, zone] of soundZones.entries()) {
  const sound = new Worker(
    `i-llm-${String(index)}`,
    'llm',
    zone,
    streamEvents(() => 40, 30),
  );
  await sound.start();
  store.put(`servers/${sound.id}`, sound.registration());
}
const flooder = fork(fileURLToPath(new URL('flooder.mjs', import.meta.url)), [flood]);
let sent = { sentBytes: 0, requests: 0 };
const registration = await new Promise((resolve) => {
  flooder.on('message', (message) => {
    if (message.registration !== undefined) {
      resolve(message.registration);
      return;
    }
    if (message.requests !== sent.requests) {
      note(
        `the faulty worker has had ${String(message.requests)} requests, ${String(message.open)} open, sent ${String(message.sentBytes)} bytes`,
      );
    }
    sent = message;
  });
});
store.put('servers/i-llm-7', registration);
const gateway = await Gateway.start('edge-0', 'gent-a', zones, store.address);

let exitCode = 2;
const answers = [];
const sentAt = [];
const streams = [];
const ready = [];
try {
  await gateway.whenReady();
  let isSending = true;
  const pending = new Set();
  const track = (promise) => {
    pending.add(promise);
    void promise.then(() => pending.delete(promise));
  };
  const sendAll = async () => {
    for (let index = 0; isSending; index += 1) {
      const isCredit = index % 5 < 3;
      sentAt.push(now());
      track(
        send(gateway.front, {
          method: isCredit ? 'POST' : 'GET',
          path: isCredit ? '/credit/2f' : '/status/2f',
          ...(isCredit ? { body: 'x'.repeat(600) } : {}),
          deadlineMs: 1500,
          ...(index % 2 === 0 ? { agent } : {}),
        }).then((answer) => answers.push({ ...answer, isCredit })),
      );
      await sleep(40);
    }
  };
  /** One report a second; callers wait 39 s for them. */
  const sendStreams = async () => {
    for (let index = 0; isSending; index += 1) {
      track(
        send(gateway.front, {
          method: 'POST',
          path: '/report/2f',
          headers: {
            'x-zinniagrade-model': 'm',
            'x-zinniagrade-token-usage': '1000,160',
            'x-zinniagrade-prompt-prefix': `5c1e07a2:800,${index.toString(16)}:200`,
          },
          body: 'x'.repeat(600),
          deadlineMs: 39_000,
        }).then((answer) => streams.push(answer)),
      );
      await sleep(1000);
    }
  };
  const askReady = async () => {
    while (isSending) {
      const atMs = now();
      track(
        gateway.isReady(3000).then((answer) => ready.push({ atMs, answer, tookMs: now() - atMs })),
      );
      await sleep(500);
    }
  };
  const sending = [sendAll(), sendStreams(), askReady()];
  await sleep(4000);
  const troubleAtMs = now();
  if (isTrouble) {
    flooder.send('trouble');
    note('one of eight model workers is in trouble from now on');
  }
  await sleep(20_000);
  isSending = false;
  await Promise.all(sending);
  await Promise.race([Promise.all(pending), sleep(15_000)]);
  for (const { id, isCredit, sentAtMs, endedAtMs, status, complete, reason } of answers) {
    note(`${id} (${isCredit ? 'credit' : 'status'}) is sent`, sentAtMs);
    note(
      `${id} ends: status ${String(status)}, complete ${String(complete)} (${reason})`,
      endedAtMs,
    );
  }
  for (const { id, sentAtMs, endedAtMs, status, events, complete, reason } of streams) {
    note(`${id} (report) is sent`, sentAtMs);
    note(
      `${id} ends: status ${String(status)}, ${String(events)} events, complete ${String(complete)} (${reason})`,
      endedAtMs,
    );
  }
  for (const { atMs, answer, tookMs } of ready) {
    note(`readiness asked: ${String(answer)} after ${String(Math.round(tookMs))} ms`, atMs);
  }
  const since = answers.filter(({ sentAtMs }) => sentAtMs >= troubleAtMs);
  /** Requests that have no answer when the script stops to wait, long after their time. */
  const unended = sentAt.filter((atMs) => atMs >= troubleAtMs).length - since.length;
  const open = since.filter(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs > timeoutMs);
  const late = open.filter(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs > timeoutMs + slackMs);
  const slowest = Math.max(0, ...since.map(({ sentAtMs, endedAtMs }) => endedAtMs - sentAtMs));
  const slowReady = ready.filter(({ atMs }) => atMs >= troubleAtMs).map(({ tookMs }) => tookMs);
  const unansweredReady = ready.filter(({ answer }) => answer === undefined).length;
  const ok = since.filter(({ status }) => status === 200).length;
  const openCount = open.length + unended;
  const lateCount = late.length + unended;
  exitCode = openCount > 0 && lateCount > openCount / 2 ? 1 : 0;
  writeRecord(recordFile, [
    `trouble: ${String(isTrouble)}; ${String(since.length)} requests since, ${String(ok)} answered with 200, ${String(unended)} without an answer when the script ended`,
    `unanswered at the route's ${String(timeoutMs)} ms: ${String(openCount)}; no answer ${String(slackMs)} ms later: ${String(lateCount)}; the slowest answer took ${String(Math.round(slowest))} ms`,
    `readiness: ${String(slowReady.length)} questions, the slowest answer after ${String(Math.round(Math.max(...slowReady)))} ms, without an answer for 3 s: ${String(unansweredReady)}`,
    `the faulty worker had ${String(sent.requests)} requests and sent ${String(sent.sentBytes)} bytes`,
    exitCode === 1 ? 'CONFIG is broken' : 'CONFIG holds',
  ]);
} catch (error) {
  console.log(String(error));
} finally {
  flooder.disconnect();
  await gateway.kill();
  store.stop();
  process.exit(exitCode);
}
