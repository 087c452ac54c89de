import { Random } from '@zinniagrade/clock';
import type { Milliseconds } from '@zinniagrade/types';
import { ConfigurationSimulation } from '../control/configuration-simulation.js';
import { type Figures, type Measurement, percentile } from '../measurement.js';

interface FleetCase {
  readonly nodes: number;
  readonly changes: number;
  readonly operators: number;
  readonly stepMs: Milliseconds;
}

/**
 * Two operators make each change at the same time. Fewer changes at 730 nodes, where a simulated
 * second takes long to run.
 */
const fleetCases: readonly FleetCase[] = [
  { nodes: 8, changes: 20, operators: 2, stepMs: 5 },
  { nodes: 730, changes: 3, operators: 2, stepMs: 20 },
];
const startUpMs: Milliseconds = 2500;
const betweenChangesMs: Milliseconds = 1000;
const secondMs = 1000;

interface AcceptedChange {
  readonly marker: string;
  readonly acceptedAt: Milliseconds;
  inForceAt?: Milliseconds;
}

const measure = async (
  fleetCase: FleetCase,
  seed: number,
  policy: 'naive' | 'current',
): Promise<Figures> => {
  const simulation = await ConfigurationSimulation.create(
    policy,
    fleetCase.nodes,
    seed,
    fleetCase.stepMs,
  );
  const random = Random.create(seed);
  const acceptedChanges: AcceptedChange[] = [];
  const lastRevisions = new Map<number, number>();
  let reverts = 0;
  let refused = 0;

  const sample = (): void => {
    const configurations = simulation.configurations();
    for (const [index, { revision }] of configurations.entries()) {
      reverts += revision < (lastRevisions.get(index) ?? 0) ? 1 : 0;
      lastRevisions.set(index, revision);
    }
    for (const change of acceptedChanges) {
      if (
        change.inForceAt === undefined &&
        configurations.every(({ dataCentres }) => Object.hasOwn(dataCentres, change.marker))
      ) {
        change.inForceAt = simulation.now();
      }
    }
  };

  const commit = (marker: string): void => {
    const dataCentre = { id: marker, region: 'r0', state: 'in-service' } as const;
    void simulation
      .commit(`o-${marker}`, [{ kind: 'put-data-centre', dataCentre }])
      .then((isAccepted) => {
        if (isAccepted) {
          acceptedChanges.push({ marker, acceptedAt: simulation.now() });
        } else {
          refused += 1;
        }
      });
  };

  await simulation.run(startUpMs);
  const [storeUsageBefore, bytesBefore, from] = [
    simulation.storeUsage(),
    simulation.sentBytes(),
    simulation.now(),
  ];
  for (let change = 0; change < fleetCase.changes; change += 1) {
    for (let operator = 0; operator < fleetCase.operators; operator += 1) {
      commit(`m${change}-${operator}`);
    }
    await simulation.run(betweenChangesMs * (0.5 + random()), sample);
  }
  await simulation.run(betweenChangesMs, sample);
  const seconds = (simulation.now() - from) / secondMs;
  const storeUsage = simulation.storeUsage();
  const bytes = simulation
    .sentBytes()
    .map((sent, index) => (sent - (bytesBefore[index] ?? 0)) / seconds);
  const end = simulation.configurations();
  const lost = acceptedChanges.filter(
    ({ marker }) => !end.every(({ dataCentres }) => Object.hasOwn(dataCentres, marker)),
  ).length;
  await simulation.close();
  const times = acceptedChanges.flatMap(({ acceptedAt, inForceAt }) =>
    inForceAt === undefined ? [] : [inForceAt - acceptedAt],
  );
  return {
    nodes_count: fleetCase.nodes,
    accepted_count: acceptedChanges.length,
    refused_count: refused,
    in_force_everywhere_median_ms: percentile(times, 0.5),
    in_force_everywhere_worst_ms: Math.max(0, ...times),
    accepted_and_lost_count: lost,
    reverts_count: reverts,
    // An open watch counts as one read per second.
    store_reads_per_s:
      (storeUsage.reads - storeUsageBefore.reads) / seconds + storeUsage.maxOpenWatches,
    store_writes_per_s: (storeUsage.writes - storeUsageBefore.writes) / seconds,
    open_watches_count: storeUsage.maxOpenWatches,
    sent_per_node_mean_bytes_per_s: bytes.reduce((sum, each) => sum + each, 0) / bytes.length,
    sent_per_node_worst_bytes_per_s: Math.max(...bytes),
  };
};

/**
 * Time and cost until an accepted configuration change is in force at every node; virtual clock,
 * fake store and network.
 */
export const measurement: Measurement = {
  name: 'configuration-spread',
  policies: ['naive', 'current'],
  defaultSeeds: 10,
  run: async ({ seed, policy }) => {
    const rows: Figures[] = [];
    for (const fleetCase of fleetCases) {
      rows.push(await measure(fleetCase, seed, policy === 'naive' ? 'naive' : 'current'));
    }
    return rows;
  },
};
