import type { Child } from '@zinniagrade/proofs';
import { requestJson, waitUntil } from '@zinniagrade/proofs';
import type { Change } from '@zinniagrade/types';
import type { Reporter } from './reporter.js';
import type { Load } from './load.js';
import type { System } from './system.js';
import { accountSecret } from './system.js';

/** Limits that the design sets. */
const inForceLimitMs = 3_000;
const newWorkLimitMs = 3_000;

export interface Demo {
  readonly system: System;
  readonly reporter: Reporter;
  readonly load: Load;
}

export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => setTimeout(resolve, ms));

interface NodeStatus {
  readonly revision: number;
  readonly openRequests: number;
  readonly members: readonly { readonly member: string; readonly status: string }[];
}

const fetchStatus = async (node: Child): Promise<NodeStatus> => {
  const headers = { authorization: `Bearer acme.${accountSecret}` };
  const answer = await fetch(`http://127.0.0.1:${node.ready.callerPort ?? 0}/v1/status`, {
    headers,
  });
  return (await answer.json()) as NodeStatus;
};

/**
 * Waits until a revision is in force at every node. Returns the time that it took, or undefined if
 * it was not in time.
 */
export const waitUntilInForce = async (
  { nodes }: System,
  revision: number,
): Promise<number | undefined> => {
  const startedAt = performance.now();
  const isInForce = async (): Promise<boolean> =>
    (await Promise.all(nodes.map((node) => fetchStatus(node).catch(() => undefined)))).every(
      (status) => status !== undefined && status.revision >= revision,
    );
  return (await waitUntil(isInForce, 2 * inForceLimitMs))
    ? Math.round(performance.now() - startedAt)
    : undefined;
};

export const waitUntilJoined = async ({ nodes }: System): Promise<boolean> =>
  waitUntil(async () => {
    const all = await Promise.all(nodes.map((node) => fetchStatus(node).catch(() => undefined)));
    return all.every(
      (status) =>
        status?.members.filter((member) => member.status === 'alive').length === nodes.length,
    );
  }, 10_000);

/** Start times of the requests that the matching upstreams ran, in wall-clock milliseconds. */
export const findRunStarts = async (
  { upstreams }: System,
  matches: (upstreamId: string, dataCentre: string) => boolean,
): Promise<readonly number[]> => {
  const chosen = [...upstreams.values()].filter(({ upstream }) =>
    matches(upstream.id, upstream.dataCentre),
  );
  const lists = await Promise.all(
    chosen.map(({ child }) =>
      requestJson<{ runs: readonly { at: number }[] }>(child.ready.port ?? 0, '/runs'),
    ),
  );
  return lists.flatMap(({ runs }) => runs.map(({ at }) => at));
};

const warmReportCount = 12;

/**
 * Waits until the upstreams are warm: new ones count as cold, and their limits rise with each round
 * of answers.
 */
export const warmUp = async ({ reporter, load }: Demo): Promise<void> => {
  const isWarm = (): boolean =>
    load.generations.filter(
      ({ service, hasAllTokensInOrder }) => service === 'condition-reports' && hasAllTokensInOrder,
    ).length >= warmReportCount && load.recentFailureCount() === 0;
  const startedAt = performance.now();
  await waitUntil(isWarm, 10_000);
  const tookMs = Math.round(performance.now() - startedAt);
  reporter.print(`the upstreams took their share of the load after ${tookMs} ms`);
};

export const applyConfiguration = async (
  { system, reporter }: Pick<Demo, 'system' | 'reporter'>,
  changes: readonly Change[],
): Promise<number> => {
  const write = { operationId: 'first configuration', expectedRevision: undefined };
  const result = await system.operator.apply(write, changes);
  const revision = result.map((reply) => reply.revision).orDefault(0);
  reporter.print(`the operator applied ${changes.length} changes as revision ${revision}`);
  return revision;
};

const removeNode = ({ nodes }: System, node: Child): void => {
  nodes.splice(nodes.indexOf(node), 1);
};

const busiestNode = async ({ nodes }: System) => {
  const statuses = await Promise.all(
    nodes.map(async (node) => ({ node, open: (await fetchStatus(node)).openRequests })),
  );
  return statuses.sort((a, b) => b.open - a.open)[0];
};

const resumeTimeoutMs = 12_000;
const warmUpTimeoutMs = 10_000;
const warmGenerationCount = 400;

export const killNode = async ({ system, reporter, load }: Demo): Promise<void> => {
  // Engines start cold; until this many generations have ended, most requests still wait for their
  // first token.
  for (let waited = 0; waited < warmUpTimeoutMs && load.generations.length < warmGenerationCount;) {
    await sleep(100);
    waited += 100;
  }
  const busiest = await busiestNode(system);
  if (busiest === undefined) {
    return;
  }
  const before = load.generations.length;
  reporter.print(`killing ${busiest.node.name}, which has ${busiest.open} open requests`);
  removeNode(system, busiest.node);
  await busiest.node.kill();
  await system.startNode('ghent');
  reporter.print('started another node in its place');
  // A stream is counted when it ends, which for a long report is seconds after it was resumed.
  const findResumed = () => load.generations.slice(before).filter(({ resumes }) => resumes > 0);
  for (let waited = 0; waited < resumeTimeoutMs && findResumed().length === 0; waited += 500) {
    await sleep(500);
  }
  await sleep(1_500);
  const resumed = findResumed();
  const whole = resumed.filter((generation) => generation.hasAllTokensInOrder).length;
  reporter.check(
    'tokens-once-in-order',
    resumed.length > 0 && whole === resumed.length,
    `${whole} of ${resumed.length} streams that were resumed at another node came whole and once`,
  );
};

const checkWithdrawn = async (
  { system, reporter }: Demo,
  withdrawnAt: number,
  dataCentre: string,
): Promise<void> => {
  const work = await findRunStarts(
    system,
    (_id, upstreamDataCentre) => upstreamDataCentre === dataCentre,
  );
  const last = Math.max(0, ...work.map((at) => at - withdrawnAt));
  reporter.check(
    'data-centre-withdrawn',
    last <= newWorkLimitMs,
    `last new work in ${dataCentre} ${last} ms after the withdrawal`,
  );
};

export const withdrawAndReturn = async (demo: Demo): Promise<void> => {
  const { system, reporter } = demo;
  const dataCentre = 'antwerp';
  const withdrawnAt = Date.now();
  const write = (operationId: string) => ({ operationId, expectedRevision: undefined });
  const withdrawal = await system.operator.withdrawDataCentre(write('withdraw'), dataCentre);
  const { revision } = withdrawal.orDefault({ revision: 0, provisional: true });
  const tookMs = await waitUntilInForce(system, revision);
  reporter.check(
    'configuration-in-force',
    revision > 0 && tookMs !== undefined && tookMs <= inForceLimitMs,
    `the withdrawal of ${dataCentre} was in force at every node after ${tookMs ?? 'too many'} ms`,
  );
  await sleep(newWorkLimitMs + 500);
  await checkWithdrawn(demo, withdrawnAt, dataCentre);
  const returnedAt = Date.now();
  await system.operator.returnDataCentre(write('return'), dataCentre);
  const isBack = await waitUntil(async () => {
    const work = await findRunStarts(
      system,
      (_id, upstreamDataCentre) => upstreamDataCentre === dataCentre,
    );
    return work.some((at) => at > returnedAt);
  }, 6_000);
  reporter.print(
    isBack
      ? `${dataCentre} is back: new work ${Date.now() - returnedAt} ms after its return`
      : `${dataCentre} got no work within 6 s of its return`,
  );
};

export const freezeNode = async ({ system, reporter, load }: Demo): Promise<void> => {
  const [node] = system.nodes;
  const before = load.lookups.length;
  reporter.print(`freezing ${node?.name ?? ''} for 2.5 s`);
  node?.freeze();
  await sleep(2_500);
  node?.wake();
  const isBack = await waitUntilJoined(system);
  const during = load.lookups.slice(before);
  const slowest = Math.max(0, ...during.map(({ durationMs }) => durationMs));
  reporter.print(
    `${node?.name ?? ''} woke and ${isBack ? 'is known as alive again' : 'is not known as alive'}; ` +
      `${during.length} lookups meanwhile, the slowest ${Math.round(slowest)} ms`,
  );
};

export const interruptStore = async (demo: Demo): Promise<void> => {
  const { system, reporter, load } = demo;
  const port = system.platform.ready.port ?? 0;
  const before = load.creditNotes.length;
  await requestJson(port, '/faults', { outage: 'hang' });
  reporter.print('the store is down');
  await sleep(1_000);
  const withdrawnAt = Date.now();
  const write = { operationId: 'withdraw during outage', expectedRevision: undefined };
  const withdrawing = system.operator.withdrawDataCentre(write, 'ghent');
  await sleep(newWorkLimitMs + 500);
  await checkWithdrawn(demo, withdrawnAt, 'ghent');
  const during = load.creditNotes.slice(before);
  const answered = during.filter(({ executionStatus }) => executionStatus === 'answered').length;
  reporter.print(
    `${answered} of ${during.length} credit notes with tickets were answered meanwhile`,
  );
  await requestJson(port, '/faults', { outage: 'none' });
  const result = await withdrawing;
  reporter.print(
    result.caseOf({
      Left: ({ kind, detail }) => `the withdrawal was answered with ${kind}: ${detail}`,
      Right: ({ provisional }) =>
        `the store is back; the withdrawal was ${provisional ? 'provisional' : 'written'}`,
    }),
  );
  const isSettled = await waitUntil(async () => {
    const found = await system.operator.get('data-centres', 'ghent');
    return found
      .map(({ configuration }) => configuration.dataCentres.ghent?.state === 'withdrawn')
      .orDefault(false);
  }, 5_000);
  reporter.check(
    'configuration-in-force',
    isSettled,
    `the withdrawal ${isSettled ? 'is' : 'is not'} in the store after the outage`,
  );
  await system.operator.returnDataCentre(
    { operationId: 'return after outage', expectedRevision: undefined },
    'ghent',
  );
};

export const drainNode = async ({ system, reporter, load }: Demo): Promise<void> => {
  const busiest = await busiestNode(system);
  if (busiest === undefined) {
    return;
  }
  const { node, open } = busiest;
  const before = load.generations.length;
  reporter.print(`SIGTERM to ${node.name}, which has ${open} open requests`);
  removeNode(system, node);
  node.terminate();
  const code = await Promise.race([node.exited, sleep(12_000).then(() => 'none' as const)]);
  const cut = load.generations.slice(before).filter(({ resumes }) => resumes > 0).length;
  reporter.check(
    'graceful-shutdown',
    code === 0 && cut === 0,
    `${node.name} ended with code ${code ?? 'none'}; ${cut} streams were cut off`,
  );
};
