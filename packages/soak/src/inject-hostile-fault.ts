import { elementAt } from './element-at.js';
import { apiKeys, type Environment } from './environment.js';
import { HostileCallers } from './hostile-callers.js';
import type { HostileFault } from './hostile-fault-plan.js';
import { sleep } from './sleep.js';

/** Share of a fault in which the worker refuses, before its refusals are repeated. */
const refusingShare = 1 / 3;

/** Injects a fault of hostile callers or workers; resolves when it has ended. */
export const injectHostileFault = async (
  { gateways, platform }: Environment,
  fault: HostileFault,
): Promise<void> => {
  if (fault.kind === 'hostile-callers') {
    const { calls, connections } = fault;
    const address = elementAt(gateways, fault.gateway).callerAddress;
    const callers = HostileCallers.create({ address, key: apiKeys[0], calls, connections });
    await sleep(fault.forMs);
    callers.stop();
    return;
  }
  const { faults } = elementAt(platform.workers, fault.worker);
  const name = fault.kind === 'cut-heads' ? 'cutHeadShare' : 'repeatedRefusalShare';
  if (fault.kind === 'repeated-refusals') {
    // Without refusals there is nothing to repeat; the connections on which they came are kept.
    const refusesUntilMs = performance.now() + fault.forMs * refusingShare;
    faults.refusesUntilMs = Math.max(faults.refusesUntilMs, refusesUntilMs);
  }
  faults[name] = 1 / 3;
  await sleep(fault.forMs);
  faults[name] = 0;
};
