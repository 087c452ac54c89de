import { Random } from '@zinniagrade/clock';
import type { Milliseconds } from '@zinniagrade/types';
import { ConfigurationWorld } from '../control/configuration-world.js';
import { type Figures, type Measurement, percentile } from '../measurement.js';

interface Part {
  readonly nodes: number;
  readonly changes: number;
  readonly operators: number;
  readonly stepMs: Milliseconds;
}

/** Changes are made in twos by racing operators; fewer at 730 nodes, as each second takes long. */
const parts: readonly Part[] = [
  { nodes: 8, changes: 20, operators: 2, stepMs: 5 },
  { nodes: 730, changes: 3, operators: 2, stepMs: 20 },
];
const startUpMs: Milliseconds = 2500;
const betweenChangesMs: Milliseconds = 1000;
const secondMs = 1000;

interface Accepted {
  readonly marker: string;
  readonly at: Milliseconds;
  inForceAt?: Milliseconds;
}

const measure = async (part: Part, seed: number, policy: 'naive' | 'current'): Promise<Figures> => {
  const world = await ConfigurationWorld.create(policy, part.nodes, seed, part.stepMs);
  const random = Random.create(seed);
  const accepted: Accepted[] = [];
  const hadRevision = new Map<number, number>();
  let reverts = 0;
  let refused = 0;

  const look = (): void => {
    const configurations = world.configurations();
    for (const [index, { revision }] of configurations.entries()) {
      reverts += revision < (hadRevision.get(index) ?? 0) ? 1 : 0;
      hadRevision.set(index, revision);
    }
    for (const change of accepted) {
      if (
        change.inForceAt === undefined &&
        configurations.every(({ dataCentres }) => Object.hasOwn(dataCentres, change.marker))
      ) {
        change.inForceAt = world.now();
      }
    }
  };

  const commit = (marker: string): void => {
    const dataCentre = { id: marker, region: 'r0', state: 'in-service' } as const;
    void world
      .commit(`o-${marker}`, [{ kind: 'put-data-centre', dataCentre }])
      .then((isAccepted) => {
        if (isAccepted) {
          accepted.push({ marker, at: world.now() });
        } else {
          refused += 1;
        }
      });
  };

  await world.run(startUpMs);
  const [useBefore, bytesBefore, from] = [world.storeUse(), world.sentBytes(), world.now()];
  for (let change = 0; change < part.changes; change += 1) {
    for (let operator = 0; operator < part.operators; operator += 1) {
      commit(`m${change}-${operator}`);
    }
    await world.run(betweenChangesMs * (0.5 + random()), look);
  }
  await world.run(betweenChangesMs, look);
  const seconds = (world.now() - from) / secondMs;
  const use = world.storeUse();
  const bytes = world
    .sentBytes()
    .map((sent, index) => (sent - (bytesBefore[index] ?? 0)) / seconds);
  const end = world.configurations();
  const lost = accepted.filter(
    ({ marker }) => !end.every(({ dataCentres }) => Object.hasOwn(dataCentres, marker)),
  ).length;
  await world.close();
  const times = accepted.flatMap(({ at, inForceAt }) =>
    inForceAt === undefined ? [] : [inForceAt - at],
  );
  return {
    nodes_count: part.nodes,
    accepted_count: accepted.length,
    refused_count: refused,
    in_force_everywhere_median_ms: percentile(times, 0.5),
    in_force_everywhere_worst_ms: Math.max(0, ...times),
    accepted_and_lost_count: lost,
    reverts_count: reverts,
    // A waiting watch counts as one read a second.
    store_reads_per_s: (use.reads - useBefore.reads) / seconds + use.maxOpenWatches,
    store_writes_per_s: (use.writes - useBefore.writes) / seconds,
    open_watches_count: use.maxOpenWatches,
    sent_per_node_mean_bytes_per_s: bytes.reduce((sum, each) => sum + each, 0) / bytes.length,
    sent_per_node_worst_bytes_per_s: Math.max(...bytes),
  };
};

/** How fast and at what cost an accepted change is in force at every node; virtual clock, fakes. */
export const measurement: Measurement = {
  name: 'configuration-spread',
  policies: ['naive', 'current'],
  defaultSeeds: 10,
  run: async ({ seed, policy }) => {
    const rows: Figures[] = [];
    for (const part of parts) {
      rows.push(await measure(part, seed, policy === 'naive' ? 'naive' : 'current'));
    }
    return rows;
  },
};
