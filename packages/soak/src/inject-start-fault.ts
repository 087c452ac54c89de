import { AddressHolder } from './address-holder.js';
import { elementAt } from './element-at.js';
import { exemptFromTiming, type Environment } from './environment.js';
import type { GatewayProcess } from './gateway-process.js';
import { sleep } from './sleep.js';
import type { StartFault } from './start-fault-plan.js';
import { shutdownGraceMs, stopRun } from './stop-run.js';

const killAndStart = async (gateway: GatewayProcess): Promise<void> => {
  await stopRun(gateway.latestRun(), 'SIGKILL');
  gateway.start();
};

/** Sends SIGHUP while the process starts; the settings file is whole again `forMs` later. */
const reloadInStart = async (
  gateway: GatewayProcess,
  fault: Extract<StartFault, { readonly kind: 'reload-in-start' }>,
): Promise<void> => {
  await killAndStart(gateway);
  const run = gateway.latestRun();
  await sleep(fault.signalAfterMs);
  const { settings, changedSettings } = gateway;
  if (fault.settings === 'half-written') {
    gateway.writeSettings(settings.slice(0, settings.length / 2));
  }
  if (fault.settings === 'changed') {
    gateway.writeSettings(changedSettings);
  }
  run.signal('SIGHUP');
  await sleep(fault.forMs);
  gateway.writeSettings(settings);
};

const terminateInStart = async (gateway: GatewayProcess, signalAfterMs: number): Promise<void> => {
  await killAndStart(gateway);
  await sleep(signalAfterMs);
  await stopRun(gateway.latestRun(), 'SIGTERM');
  gateway.start();
};

const terminateRepeatedly = async (
  gateway: GatewayProcess,
  signalsAfterMs: readonly number[],
): Promise<void> => {
  const run = gateway.latestRun();
  const timers = signalsAfterMs.map((afterMs) =>
    setTimeout(() => {
      run.signal('SIGTERM');
    }, afterMs),
  );
  await stopRun(run, 'SIGTERM');
  for (const timer of timers) {
    clearTimeout(timer);
  }
  gateway.start();
};

const startBeside = async (gateway: GatewayProcess, startAfterMs: number): Promise<void> => {
  const stopped = stopRun(gateway.latestRun(), 'SIGTERM');
  await Promise.race([stopped, sleep(startAfterMs)]);
  gateway.startBesideStopping();
  await stopped;
  gateway.start();
};

const takeAddress = async (
  gateway: GatewayProcess,
  address: string,
  forMs: number,
): Promise<void> => {
  await stopRun(gateway.latestRun(), 'SIGKILL');
  const holder = await AddressHolder.create(address);
  const endHoldUp = gateway.holdUpStart();
  gateway.start();
  await sleep(forMs);
  await holder?.release();
  endHoldUp();
};

const killRepeatedly = async (
  gateway: GatewayProcess,
  intervalsMs: readonly number[],
): Promise<void> => {
  for (const intervalMs of intervalsMs) {
    await killAndStart(gateway);
    await sleep(intervalMs);
  }
  await killAndStart(gateway);
};

/** Injects a fault around the start of a process; resolves when it has ended. */
export const injectStartFault = async (
  environment: Environment,
  fault: StartFault,
): Promise<void> => {
  const gateway = elementAt(environment.gateways, fault.gateway);
  exemptFromTiming(environment, fault.forMs + shutdownGraceMs, gateway.node);
  switch (fault.kind) {
    case 'reload-in-start':
      await reloadInStart(gateway, fault);
      return;
    case 'terminate-in-start':
      await terminateInStart(gateway, fault.signalAfterMs);
      return;
    case 'terminate-repeatedly':
      await terminateRepeatedly(gateway, fault.signalsAfterMs);
      return;
    case 'start-beside':
      await startBeside(gateway, fault.startAfterMs);
      return;
    case 'address-taken':
      await takeAddress(gateway, gateway.addresses[fault.address], fault.forMs);
      return;
    case 'kill-repeatedly':
      await killRepeatedly(gateway, fault.intervalsMs);
  }
};
