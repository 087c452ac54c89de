import { Random } from '@zinniagrade/clock';
import { LengthEstimates, emptyCurve, lengthKey, memoryCurve } from '@zinniagrade/length-estimates';
import { fixedConcurrency, leastConnections } from '@zinniagrade/naive';
import { PrefixIndex, RoutingTable, chooseUpstream } from '@zinniagrade/routing';
import type { NodeView, UpstreamId } from '@zinniagrade/types';
import { createFleetView, fleetLimit, fleetServices } from '../load-model/routing-fleet.js';
import type { Figures, Measurement, Policy } from '../measurement.js';
import { percentile } from '../measurement.js';

const sizes = [
  { workers: 10, nodes: 8 },
  { workers: 100, nodes: 8 },
  { workers: 1000, nodes: 73 },
  { workers: 12_000, nodes: 730 },
] as const;
const decisions = 4000;
const warmUpDecisions = 1000;
const promptTokens = 600;

/** Makes one routing decision and returns the chosen upstream, if any. */
type Decide = (index: number) => UpstreamId | undefined;

const createCurrent = (view: NodeView, table: RoutingTable, random: Random): Decide => {
  const limits = new Map([...table.candidateOwners.keys()].map((id) => [id, fleetLimit]));
  const viewWithLimits = { ...view, limits };
  const prefixes = PrefixIndex.create();
  const estimates = LengthEstimates.create();
  const curves = new Map(
    [...table.candidateOwners.keys()].map((id) => [id, emptyCurve.map(() => random() * 15_000)]),
  );
  return (index) => {
    const service = fleetServices[index % fleetServices.length] ?? fleetServices[0];
    if (service === undefined) {
      return undefined;
    }
    const blockIds = Array.from({ length: 8 }, (_, block) => `${index % 200}/${block}`);
    const choice = chooseUpstream(
      {
        table,
        view: viewWithLimits,
        ownUsage: (id) => ({ requests: 4, memory: curves.get(id) ?? emptyCurve }),
        now: 0,
        wallNow: 0,
        random,
      },
      {
        service,
        memory: memoryCurve(estimates, lengthKey(service.id, service.model), {
          promptTokens,
          tokensSoFar: 0,
        }),
        tokensPerBlock: 64,
        cachedBlocks: prefixes.countCachedBlocks(blockIds),
        excluded: new Set(),
      },
    );
    return choice
      .map(({ upstream }) => {
        prefixes.recordDispatch(upstream.id, blockIds);
        return upstream.id;
      })
      .toMaybe()
      .extract();
  };
};

const createNaive = (view: NodeView, nodes: number, random: Random): Decide => {
  const counts = new Map<UpstreamId, number>();
  const upstreams = Object.values(view.configuration.upstreams);
  return (index) => {
    const service = fleetServices[index % fleetServices.length]?.id ?? '';
    const serving = upstreams.filter(({ services }) => services.includes(service));
    return leastConnections(
      serving.map(({ id }) => id),
      counts,
      fixedConcurrency(96, nodes),
      random,
    );
  };
};

const heapMb = (): number => process.memoryUsage().heapUsed / 1_000_000;

/** Median time in milliseconds to update the table when one node leaves or returns. */
const timeUpdates = (start: RoutingTable, view: NodeView): number => {
  let table = start;
  const times: number[] = [];
  for (let round = 0; round < 10; round += 1) {
    const members = round % 2 === 0 ? view.members.slice(0, -1) : view.members;
    const from = performance.now();
    table = RoutingTable.update(table, { configuration: view.configuration, members });
    times.push(performance.now() - from);
  }
  return percentile(times, 0.5);
};

const measureSize = (
  { workers, nodes }: (typeof sizes)[number],
  seed: number,
  policy: Policy,
): Figures => {
  const random = Random.create(seed);
  const view = createFleetView(workers, nodes);
  const before = heapMb();
  const startedAt = performance.now();
  const table = RoutingTable.create('node-0', 'dc-0', view);
  const tableMs = performance.now() - startedAt;
  const tableMb = heapMb() - before;
  const updateMs = timeUpdates(table, view);
  const decide =
    policy === 'naive' ? createNaive(view, nodes, random) : createCurrent(view, table, random);
  const times: number[] = [];
  let chosen = 0;
  for (let index = 0; index < decisions; index += 1) {
    const from = performance.now();
    chosen += decide(index) === undefined ? 0 : 1;
    if (index >= warmUpDecisions) {
      times.push((performance.now() - from) * 1000);
    }
  }
  return {
    workers,
    nodes,
    known_candidates: table.candidateOwners.size,
    chosen_share: chosen / decisions,
    decision_median_us: percentile(times, 0.5),
    decision_p99_us: percentile(times, 0.99),
    // `table_mb` is heap growth without a forced garbage collection, which makes it an upper bound.
    ...(policy === 'naive'
      ? {}
      : { table_ms: tableMs, table_update_ms: updateMs, table_mb: Math.max(0, tableMb) }),
  };
};

/** Time of a routing decision, and time and memory of the routing table, by the number of workers. */
export const measurement: Measurement = {
  name: 'routing-decision',
  policies: ['naive', 'current'],
  defaultSeeds: 10,
  run: ({ seed, policy }) => Promise.resolve(sizes.map((size) => measureSize(size, seed, policy))),
};
