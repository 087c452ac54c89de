import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { send } from '../lib-2/client.mjs';
import { configuration } from '../lib-2/configuration.mjs';
import { Gateway } from '../lib-2/gateway.mjs';
import { note, now, writeRecord } from '../lib-2/record.mjs';
import { Store } from '../lib-2/store.mjs';
import { answerAfter, Worker } from '../lib-2/worker.mjs';

const isTrouble = process.env.TROUBLE !== '0';
const drainMs = 2000;
const stableWindowMs = 3000;
/** The worker serves on for `drain_ms` after its entry was removed, and a little longer. */
const extraServiceMs = 300;
/** Allowance for the time that a request takes to the worker. */
const marginMs = 50;
const zones = ['gent-a', 'gent-b', 'aalst'];

const store = await new Store().start();
store.put('op/config', configuration(7));
const workers = [];
for (const [index, zone] of [...zones, 'brugge'].entries()) {
  const worker = new Worker(`i-app-${String(index)}`, 'app', zone, answerAfter(60), { slots: 6 });
  await worker.start();
  workers.push(worker);
  store.put(`servers/${worker.id}`, worker.registration());
}
const gateways = [];
for (const [index, zone] of zones.entries()) {
  gateways.push(await Gateway.start(`edge-${String(index)}`, zone, zones, store.address));
}

let exitCode = 2;
const answers = [];
try {
  await Promise.all(gateways.map((gateway) => gateway.whenReady()));
  let isSending = true;
  const pending = new Set();
  /** Credit notes and lookups at an even pace, 60 a second in all, at one gateway after the other. */
  const sendAll = async () => {
    for (let index = 0; isSending; index += 1) {
      const gateway = gateways[index % gateways.length];
      const isCredit = index % 5 < 3;
      const sent = send(gateway.front, {
        method: isCredit ? 'POST' : 'GET',
        path: isCredit ? '/credit/2f' : '/status/2f',
        ...(isCredit ? { body: 'x'.repeat(600) } : {}),
        deadlineMs: 1500,
      }).then((answer) => {
        pending.delete(sent);
        answers.push({ ...answer, gateway: gateway.name, isCredit });
      });
      pending.add(sent);
      await sleep(16);
    }
  };
  const sending = sendAll();
  await sleep(4000);

  // Planned work: the operator changes the configuration.
  store.put('op/config', configuration(9));
  note('version 9 of the configuration is acknowledged');
  await sleep(100);
  if (isTrouble) {
    const count = store.silenceOpenConnections();
    note(`${String(count)} open connections to the store go silent; new ones work`);
  }
  const silentAtMs = now();
  // From here on all machines are in touch again and the store is stable.
  await sleep(stableWindowMs + 150);
  const leaving = workers[0];
  store.remove(`servers/${leaving.id}`);
  const removedAtMs = now();
  note(`the store acknowledges that the entry of ${leaving.id} is removed`);
  await sleep(drainMs + extraServiceMs);
  note(`${leaving.id} exits`);
  leaving.exit();
  const exitedAtMs = now();
  await sleep(2000);
  isSending = false;
  await sending;
  await Promise.all(pending);

  for (const { atMs, id } of leaving.arrivals) {
    note(`${id} reaches ${leaving.id}`, atMs);
  }
  for (const { id, gateway, isCredit, sentAtMs, endedAtMs, status, complete } of answers) {
    note(`${id} (${isCredit ? 'credit' : 'status'}) is sent to ${gateway}`, sentAtMs);
    note(`${id} ends: status ${String(status)}, complete ${String(complete)}`, endedAtMs);
  }
  const sentAt = new Map(answers.map(({ id, sentAtMs }) => [id, sentAtMs]));
  const late = leaving.arrivals.filter(({ atMs }) => atMs > removedAtMs + drainMs + marginMs);
  const lateSent = late.filter(({ id }) => (sentAt.get(id) ?? 0) > removedAtMs + drainMs);
  const lost = answers.filter(
    ({ isCredit, sentAtMs, endedAtMs, status }) =>
      isCredit && status !== 200 && sentAtMs < exitedAtMs && endedAtMs >= exitedAtMs,
  );
  const served = answers.filter(({ status }) => status === 200).length;
  exitCode = served < answers.length / 2 ? 2 : lateSent.length > 0 ? 1 : 0;
  writeRecord(fileURLToPath(new URL('record.txt', import.meta.url)), [
    `trouble: ${String(isTrouble)}; ${String(answers.length)} requests, ${String(served)} answered with 200`,
    `entry removed ${((removedAtMs - silentAtMs) / 1000).toFixed(3)} s after the silence began`,
    `requests that were sent and reached the worker later than drain_ms after the removal: ${String(lateSent.length)}, ` +
      `the last ${String(Math.round(Math.max(0, ...late.map(({ atMs }) => atMs - removedAtMs))))} ms after it`,
    `credit notes that the worker had when it exited, answered without success: ${String(lost.length)}`,
    exitCode === 1 ? 'DRAIN is broken' : exitCode === 0 ? 'DRAIN holds' : 'the case could not run',
  ]);
} catch (error) {
  console.log(String(error));
} finally {
  await Promise.all(gateways.map((gateway) => gateway.kill()));
  store.stop();
  process.exit(exitCode);
}
