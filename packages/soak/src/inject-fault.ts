import { soakBounds } from '@zinniagrade/platform-adapter/standins';
import { elementAt } from './element-at.js';
import { apiKeys, exemptFromTiming, type Environment } from './environment.js';
import type { Fault, MixedFault } from './fault-plan.js';
import type { GatewayProcess } from './gateway-process.js';
import { injectHostileFault } from './inject-hostile-fault.js';
import { injectStartFault } from './inject-start-fault.js';
import type { FaultPeriod } from './observations.js';
import { sleep } from './sleep.js';
import { shutdownGraceMs, stopRun } from './stop-run.js';

const restartDelayMs = 200;

const restartGateway = async (gateway: GatewayProcess, signal: NodeJS.Signals): Promise<void> => {
  await stopRun(gateway.latestRun(), signal);
  await sleep(restartDelayMs);
  gateway.start();
};

const isDraining = ({ observations }: Environment, id: string): boolean =>
  observations.drainPeriods.some(({ worker, toMs }) => worker === id && toMs === Infinity);

const drainWorker = async (
  environment: Environment,
  fault: MixedFault & { readonly worker: number },
): Promise<void> => {
  const { standin } = elementAt(environment.platform.workers, fault.worker);
  const { address } = elementAt(environment.workerProxies, fault.worker);
  const drainPeriod = { worker: standin.id, fromMs: performance.now(), toMs: Infinity };
  if (isDraining(environment, standin.id)) {
    return;
  }
  environment.observations.drainPeriods.push(drainPeriod);
  environment.platform.register(standin.id, address, 'draining');
  await sleep(soakBounds.drainMs + fault.forMs);
  drainPeriod.toMs = performance.now();
  environment.platform.register(standin.id, address, 'ready');
};

/** Has the worker's responses state that it leaves; then it starts again under the same id. */
const stateLeaving = async (
  environment: Environment,
  fault: MixedFault & { readonly worker: number },
): Promise<void> => {
  const { standin, faults } = elementAt(environment.platform.workers, fault.worker);
  if (faults.leaving) {
    return;
  }
  faults.leaving = true;
  await sleep(soakBounds.drainMs + fault.forMs);
  faults.leaving = false;
  for (const statement of environment.observations.statements) {
    if (statement.worker === standin.id && statement.kind === 'leaves') {
      statement.untilMs = Math.min(statement.untilMs, performance.now());
    }
  }
  environment.platform.countRestart(standin.id);
  const { address } = elementAt(environment.workerProxies, fault.worker);
  const state = isDraining(environment, standin.id) ? 'draining' : 'ready';
  environment.platform.register(standin.id, address, state);
};

/** Revokes the next API key; the first one always stays valid, so that requests can be served. */
const revokeNextKey = (environment: Environment): void => {
  if (environment.revokedKeyCount >= apiKeys.length - 1) {
    return;
  }
  environment.revokedKeyCount += 1;
  environment.configurationVersion += 1;
  environment.observations.keyRevokedAtMs.set(
    elementAt(apiKeys, environment.revokedKeyCount),
    performance.now(),
  );
  environment.platform.configure(
    environment.configurationVersion,
    apiKeys.filter((key) => !environment.observations.keyRevokedAtMs.has(key)),
  );
};

const disturbStore = async (
  environment: Environment,
  fault: 'unavailable' | 'dropsReplies',
  forMs: number,
): Promise<void> => {
  const { faults } = environment.platform.store;
  exemptFromTiming(environment, forMs);
  const endHoldUps = environment.gateways.map((gateway) => gateway.holdUpStart());
  faults[fault] = true;
  await sleep(forMs);
  faults[fault] = false;
  for (const endHoldUp of endHoldUps) {
    endHoldUp();
  }
};

const injectGatewayFault = async (
  environment: Environment,
  fault: Extract<MixedFault, { readonly gateway: number }>,
): Promise<void> => {
  const gateway = elementAt(environment.gateways, fault.gateway);
  exemptFromTiming(environment, fault.forMs + shutdownGraceMs, gateway.node);
  switch (fault.kind) {
    case 'kill':
      await restartGateway(gateway, 'SIGKILL');
      return;
    case 'terminate':
      await restartGateway(gateway, 'SIGTERM');
      return;
    case 'pause': {
      const run = gateway.latestRun();
      const endHoldUp = gateway.holdUpStart();
      run.signal('SIGSTOP');
      await sleep(fault.forMs);
      run.signal('SIGCONT');
      endHoldUp();
      return;
    }
    case 'store-link': {
      const proxy = elementAt(environment.storeProxies, fault.gateway);
      const endHoldUp = gateway.holdUpStart();
      proxy.setFault(fault.link);
      await sleep(fault.forMs);
      proxy.setFault('none');
      endHoldUp();
    }
  }
};

const injectWorkerFault = async (
  environment: Environment,
  fault: Extract<MixedFault, { readonly worker: number }>,
): Promise<void> => {
  const { faults } = elementAt(environment.platform.workers, fault.worker);
  switch (fault.kind) {
    case 'worker-link': {
      const proxy = elementAt(environment.workerProxies, fault.worker);
      // The proxy delivers bytes late that the gateway sent in time.
      exemptFromTiming(environment, fault.forMs);
      proxy.setFault(fault.link);
      await sleep(fault.forMs);
      proxy.setFault('none');
      return;
    }
    case 'worker-leaves':
      await drainWorker(environment, fault);
      return;
    case 'answers-lost':
      faults.lostResponseShare = 0.3;
      await sleep(fault.forMs);
      faults.lostResponseShare = 0;
      return;
    case 'errors':
      faults.errorResponseShare = 0.5;
      await sleep(fault.forMs);
      faults.errorResponseShare = 0;
      return;
    case 'streams-cut':
      faults.cutStreamShare = 0.5;
      await sleep(fault.forMs);
      faults.cutStreamShare = 0;
      return;
    case 'worker-refuses':
      faults.refusesUntilMs = Math.max(faults.refusesUntilMs, performance.now() + fault.forMs);
      await sleep(fault.forMs);
      return;
    case 'worker-states-leaving':
      await stateLeaving(environment, fault);
  }
};

/** Injects a fault of the mixed kinds; resolves when it has ended. */
const injectMixedFault = async (environment: Environment, fault: MixedFault): Promise<void> => {
  if ('gateway' in fault) {
    await injectGatewayFault(environment, fault);
    return;
  }
  if ('worker' in fault) {
    await injectWorkerFault(environment, fault);
    return;
  }
  switch (fault.kind) {
    case 'store-away':
      await disturbStore(environment, 'unavailable', fault.forMs);
      return;
    case 'store-loses-replies':
      await disturbStore(environment, 'dropsReplies', fault.forMs);
      return;
    case 'store-forgets':
      environment.platform.store.compactHistory();
      return;
    case 'revoke':
      revokeNextKey(environment);
  }
};

const inject = async (environment: Environment, fault: Fault): Promise<void> => {
  switch (fault.kind) {
    case 'hostile-callers':
    case 'cut-heads':
    case 'repeated-refusals':
      await injectHostileFault(environment, fault);
      return;
    case 'reload-in-start':
    case 'terminate-in-start':
    case 'terminate-repeatedly':
    case 'start-beside':
    case 'address-taken':
    case 'kill-repeatedly':
      await injectStartFault(environment, fault);
      return;
    default:
      await injectMixedFault(environment, fault);
  }
};

/** Injects a fault; resolves when it has ended. */
export const injectFault = async (environment: Environment, fault: Fault): Promise<void> => {
  const period: FaultPeriod = {
    kind: fault.kind,
    ...('gateway' in fault ? { gateway: elementAt(environment.gateways, fault.gateway).node } : {}),
    ...('calls' in fault ? { calls: fault.calls } : {}),
    fromMs: performance.now(),
    toMs: Infinity,
  };
  environment.observations.faultPeriods.push(period);
  await inject(environment, fault);
  period.toMs = performance.now();
};
