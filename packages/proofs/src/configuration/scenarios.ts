import type { Change, Milliseconds, NodeId } from '@zinniagrade/types';
import type { Policy, Verdict } from '../proof.js';
import { ConfigurationSystem, dataCentreOf, nodeIds } from './configuration-system.js';
import { PromiseMonitor } from './promise-monitor.js';

const startUpMs: Milliseconds = 4000;
const recoveryMs: Milliseconds = 8000;
const seedCount = 12;

/** A part of a scenario: schedules actions of operators or faults. */
export type ScenarioPart = (run: ScenarioContext) => void;

export interface ScenarioContext {
  readonly system: ConfigurationSystem;
  readonly monitor: PromiseMonitor;
  /** A random time between the two, derived from the seed. */
  readonly randomBetween: (fromMs: Milliseconds, toMs: Milliseconds) => Milliseconds;
  readonly randomNode: () => NodeId;
  /** Runs an action at a time relative to the end of the start-up. */
  readonly schedule: (ms: Milliseconds, run: () => void) => void;
  /** Commits a data centre named `marker`, by which the monitor recognizes the change. */
  readonly commitMarker: (marker: string) => void;
}

export interface Scenario {
  readonly durationMs: Milliseconds;
  readonly parts: readonly ScenarioPart[];
}

const dataCentre = (id: string): Change => ({
  kind: 'put-data-centre',
  dataCentre: { id, region: 'r', state: 'in-service' },
});

/**
 * Runs a scenario with one seed. At its end all faults are lifted, and every node must accept work
 * again. Returns the first violation.
 */
const runSeed = async (
  { durationMs, parts }: Scenario,
  policy: Policy,
  seed: number,
): Promise<string | undefined> => {
  const system = await ConfigurationSystem.create(policy, seed);
  const monitor = PromiseMonitor.create(system);
  const { random } = system;
  const run: ScenarioContext = {
    system,
    monitor,
    randomBetween: (fromMs, toMs) => fromMs + random() * (toMs - fromMs),
    randomNode: () => nodeIds[Math.floor(random() * nodeIds.length)] ?? 'n0',
    schedule: (ms, action) => {
      system.after(startUpMs + ms, action);
    },
    commitMarker: (marker) => {
      void system.commit(`o-${marker}`, [dataCentre(marker)]).then((isAccepted) => {
        if (isAccepted) {
          monitor.recordAccepted(marker);
        }
      });
    },
  };
  void system.commit('set-up', [dataCentre('a'), dataCentre('b')]);
  for (const part of parts) {
    part(run);
  }
  await system.run(startUpMs);
  await system.run(durationMs, monitor.checkNodes);
  system.setLinkCut(() => false);
  system.faults.outage = false;
  system.faults.lostReplyShare = 0;
  system.faults.lateWriteShare = 0;
  for (const id of nodeIds) {
    system.setStoreCut(id, false);
    system.wake(id);
  }
  await system.run(recoveryMs, monitor.checkNodes);
  const refusing = system.nodes().filter((node) => !node.acceptsWork());
  const violation =
    monitor.violation() ??
    (refusing.length > 0
      ? `${refusing.length} nodes accept no work after all faults were lifted`
      : undefined) ??
    (monitor.acceptedCount() === 0 ? 'no change was accepted' : undefined);
  await system.close();
  return violation;
};

/** Runs a scenario with many seeds and stops at the first that breaks a promise. */
export const runScenario = async (
  scenario: Scenario,
  policy: Policy,
  seeds = seedCount,
): Promise<Verdict> => {
  for (let seed = 1; seed <= seeds; seed += 1) {
    const violation = await runSeed(scenario, policy, seed);
    if (violation !== undefined) {
      return { held: false, detail: `seed ${seed} ${violation}` };
    }
  }
  return { held: true, detail: `${seeds} seeds` };
};

/** Each operator commits eight changes, at random times of its own. */
export const commitAtRandomTimes =
  (...operators: readonly string[]): ScenarioPart =>
  ({ schedule, randomBetween, commitMarker }) => {
    for (const operator of operators) {
      for (let index = 0, ms = 0; index < 8; index += 1) {
        ms += randomBetween(200, 3000);
        schedule(ms, () => {
          commitMarker(`${operator}${index}`);
        });
      }
    }
  };

/** Three operators commit a change each at the same moment, eight times. */
export const commitConcurrently: ScenarioPart = ({ schedule, randomBetween, commitMarker }) => {
  for (let index = 0, ms = 0; index < 8; index += 1) {
    ms += randomBetween(500, 3000);
    for (const operator of ['x', 'y', 'z']) {
      schedule(ms, () => {
        commitMarker(`${operator}${index}`);
      });
    }
  }
};

export const loseReplies: ScenarioPart = ({ system, schedule }) => {
  schedule(0, () => {
    system.faults.lostReplyShare = 0.4;
    system.faults.lateWriteShare = 0.1;
  });
};

/** The store is down for all nodes; after that, up to three nodes stay cut off from it. */
export const interruptStore: ScenarioPart = ({ system, schedule, randomBetween, randomNode }) => {
  const downAt = randomBetween(1000, 4000);
  schedule(downAt, () => {
    system.faults.outage = true;
  });
  schedule(downAt + randomBetween(3000, 8000), () => {
    system.faults.outage = false;
    for (let index = 0; index < 3; index += 1) {
      system.setStoreCut(randomNode(), true);
    }
  });
};

/** One node is cut off from the other nodes and the store; later the link between two nodes is cut. */
export const cutLinks: ScenarioPart = ({ system, schedule, randomBetween, randomNode }) => {
  const [isolated, left, right] = [randomNode(), randomNode(), randomNode()];
  const cutAt = randomBetween(500, 3000);
  schedule(cutAt, () => {
    system.setLinkCut((a, b) => a === isolated || b === isolated);
    system.setStoreCut(isolated, true);
  });
  schedule(cutAt + randomBetween(4000, 9000), () => {
    system.setLinkCut((a, b) => [a, b].includes(left) && [a, b].includes(right));
    system.setStoreCut(isolated, false);
  });
};

/**
 * Nodes are frozen for longer than a confirmation is valid, and wake while later changes are
 * committed.
 */
export const freezeNodes: ScenarioPart = ({ system, schedule, randomBetween, randomNode }) => {
  for (let index = 0; index < 3; index += 1) {
    const node = randomNode();
    const frozenAt = randomBetween(500, 8000);
    schedule(frozenAt, () => {
      system.freeze(node);
    });
    schedule(frozenAt + randomBetween(1500, 6000), () => {
      system.wake(node);
    });
  }
};

/** Nodes are killed while the store is down, and restart before it is back. */
export const killNodesDuringOutage: ScenarioPart = ({
  system,
  schedule,
  randomBetween,
  randomNode,
}) => {
  const downAt = randomBetween(3000, 5000);
  schedule(downAt, () => {
    system.faults.outage = true;
  });
  const nodes = [...new Set([randomNode(), randomNode()])];
  for (const node of nodes) {
    const killedAt = downAt + randomBetween(0, 2000);
    schedule(killedAt, () => {
      system.kill(node);
    });
    schedule(killedAt + randomBetween(500, 3000), () => {
      void system.restart(node);
    });
  }
  schedule(downAt + randomBetween(9000, 12_000), () => {
    system.faults.outage = false;
  });
};

/** The operator withdraws data centre b at a random time during the scenario. */
export const withdrawDataCentre =
  (fromMs: Milliseconds, toMs: Milliseconds): ScenarioPart =>
  ({ system, monitor, schedule, randomBetween, commitMarker }) => {
    schedule(100, () => {
      commitMarker('before');
    });
    schedule(randomBetween(fromMs, toMs), () => {
      monitor.recordWithdrawn('b');
      void system.withdraw('withdraw-b', 'b');
    });
  };

/** The VM list still reports the VMs of the data centre as live, long after the withdrawal. */
export const keepVmListStale: ScenarioPart = ({ system }) => {
  system.setVms(
    nodeIds.map((id) => ({ id, host: id, dataCentre: dataCentreOf(id), state: 'live' })),
  );
};
