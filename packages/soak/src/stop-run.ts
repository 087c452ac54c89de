import { soakBounds } from '@zinniagrade/platform-adapter/standins';
import type { GatewayRun } from './gateway-run.js';

export const shutdownGraceMs = soakBounds.graceS * 1000;

/** Stops a process and kills it when its grace period is over; resolves when it has exited. */
export const stopRun = async (run: GatewayRun, signal: NodeJS.Signals): Promise<void> => {
  run.signal(signal);
  const killTimer = setTimeout(() => {
    run.signal('SIGKILL');
  }, shutdownGraceMs);
  await run.exited;
  clearTimeout(killTimer);
};
