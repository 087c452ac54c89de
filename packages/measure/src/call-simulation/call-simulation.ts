import type { CallReply } from './call-node.js';
import type { CallSimulationOptions, CallSimulationOutcome } from './call-simulation-options.js';
import type { CallRecord, Environment, Vm } from './environment.js';
import { createEnvironment, nodeCount, meanExecutionMs } from './environment.js';

const callWindowMs = 10_000;
/** Time after the last call for late executions to happen. */
const drainMs = 12_000;
const stepMs = 20;
const callerTimeoutMs = 2_000;
const freezeMs = 3_000;
const defaultCallerAttempts = 3;

/** One attempt of a caller at one node; `cut` means that no answer came before the timeout. */
const attemptCall = async (
  environment: Environment,
  vm: Vm,
  record: CallRecord,
  key: string,
): Promise<CallReply | { readonly kind: 'cut' | 'never-sent' }> => {
  if (!vm.isUp) {
    return { kind: 'never-sent' };
  }
  const { incarnation } = vm;
  const pendingReply = (async () => {
    await environment.untilProcessRuns(vm, incarnation);
    const request = { clientAccount: 'acme', service: 'notes', operation: 'issue' };
    const answer = await vm.node.call({
      ...request,
      arguments: { id: record.id },
      idempotencyKey: key,
    });
    await environment.untilProcessRuns(vm, incarnation);
    return answer;
  })();
  const answer = await Promise.race([pendingReply, environment.wait(callerTimeoutMs)]);
  return answer ?? { kind: 'cut' };
};

const isNotRun = (reply: Awaited<ReturnType<typeof attemptCall>>): boolean =>
  reply.kind === 'never-sent' || (reply.kind === 'problem' && reply.ran === 'not-run');

/** Sends a call to one node after another until one returns a result or the attempts are used up. */
const makeCall = async (
  environment: Environment,
  record: CallRecord,
  firstVm: Vm,
  attempts: number,
): Promise<void> => {
  const { vms } = environment;
  const ticket = record.usesTicket ? firstVm.node.issueTicket('acme', 'notes') : undefined;
  const key = ticket ?? `key-${record.id}`;
  for (let attempt = 0; attempt < attempts; attempt += 1) {
    const vm = vms[(vms.indexOf(firstVm) + attempt) % vms.length] ?? firstVm;
    const reply = await attemptCall(environment, vm, record, key);
    record.allNotRun &&= isNotRun(reply);
    if (reply.kind === 'result') {
      record.answered = true;
      return;
    }
  }
};

const scheduleEvents = (environment: Environment, options: CallSimulationOptions): void => {
  const { clock, random, vms, records } = environment;
  const {
    faults,
    calls = 40,
    chosenKeyShare = 0.5,
    callerAttempts = defaultCallerAttempts,
  } = options;
  const withRunningVm = (action: (vm: Vm) => void) => () => {
    const runningVms = vms.filter(({ isUp }) => isUp);
    const vm = runningVms[Math.floor(random() * runningVms.length)];
    if (vm !== undefined) {
      action(vm);
    }
  };
  for (let index = 0; index < (faults.kills ?? 0); index += 1) {
    clock.after(random() * callWindowMs, withRunningVm(environment.kill));
  }
  const freeze = (vm: Vm): void => {
    vm.frozenUntil = clock.monotonicMs() + freezeMs;
  };
  for (let index = 0; index < (faults.freezes ?? 0); index += 1) {
    clock.after(random() * callWindowMs, withRunningVm(freeze));
  }
  for (let index = 0; index < calls; index += 1) {
    const startedAt = random() * callWindowMs;
    const usesTicket = random() >= chosenKeyShare;
    const record = { id: `${index}`, usesTicket, startedAt, executions: 0, answered: false };
    const call: CallRecord = { ...record, allNotRun: true };
    records.set(call.id, call);
    const isRepeated = environment.occurs(faults.repeatShare);
    const start = withRunningVm((vm) => void makeCall(environment, call, vm, callerAttempts));
    clock.after(startedAt, start);
    if (isRepeated && !usesTicket) {
      clock.after(startedAt + random() * meanExecutionMs, start);
    }
  }
};

/** Simulates calls under the given faults on a virtual clock. */
export const runCallSimulation = async (
  options: CallSimulationOptions,
): Promise<CallSimulationOutcome> => {
  const environment = createEnvironment(options);
  for (let index = 0; index < nodeCount; index += 1) {
    environment.addVm(index);
  }
  scheduleEvents(environment, options);
  for (let now = 0; now < callWindowMs + drainMs; now += stepMs) {
    environment.clock.advance(stepMs);
    await new Promise((resolve) => setImmediate(resolve));
  }
  const records = [...environment.records.values()];
  const outage = options.faults.storeOutage;
  const inOutage = records.filter(
    ({ startedAt }) =>
      outage !== undefined && startedAt >= outage.fromMs && startedAt < outage.toMs,
  );
  const ticketCalls = inOutage.filter(({ usesTicket }) => usesTicket);
  const chosenKeyCalls = inOutage.filter(({ usesTicket }) => !usesTicket);
  const answered = (list: readonly CallRecord[]): number =>
    list.filter((record) => record.answered).length;
  return {
    calls: records.length,
    answered: answered(records),
    duplicateExecutions: records.filter(({ executions: runs }) => runs > 1).length,
    falselyReportedNotRun: records.filter(
      ({ executions: runs, allNotRun }) => runs > 0 && allNotRun,
    ).length,
    outageTicketCalls: ticketCalls.length,
    outageTicketAnswered: answered(ticketCalls),
    outageChosenKeyCalls: chosenKeyCalls.length,
    outageChosenKeyAnswered: answered(chosenKeyCalls),
  };
};
