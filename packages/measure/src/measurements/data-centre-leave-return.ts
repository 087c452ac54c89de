import { Random } from '@zinniagrade/clock';
import type { Milliseconds } from '@zinniagrade/types';
import { ConfigurationSimulation } from '../control/configuration-simulation.js';
import { dataCentresOf, createFleet } from '../control/fleet.js';
import { WithdrawalLoad } from '../control/withdrawal-load.js';
import type { Figures, Measurement } from '../measurement.js';

const nodeCount = 8;
const stepMs: Milliseconds = 10;
const requestsPerStep = 2;
const startUpMs: Milliseconds = 4000;
/** Time from the operator's withdrawal until the upstreams of the data centre are switched off. */
const noticeMs: Milliseconds = 10_000;
const downMs: Milliseconds = 5000;
const afterReturnMs: Milliseconds = 6000;
const leavingDataCentre = 'd1';

type Condition = 'store-up' | 'store-down' | 'one-node-cut-off';
const conditions: readonly Condition[] = ['store-up', 'store-down', 'one-node-cut-off'];

const measure = async (
  condition: Condition,
  seed: number,
  policy: 'naive' | 'current',
): Promise<Figures> => {
  const simulation = await ConfigurationSimulation.create(policy, nodeCount, seed, stepMs);
  const random = Random.create(seed);
  const dataCentres = dataCentresOf(createFleet(nodeCount));
  const dataCentreIds = dataCentres.map(({ id }) => id);
  const load = WithdrawalLoad.create(dataCentreIds, requestsPerStep, random);
  const isolatedNode = `n${Math.floor(random() * nodeCount)}`;
  let isDown = false;
  const stepLoad = (): void => {
    load.step(simulation.now(), simulation.nodes(), isDown ? leavingDataCentre : undefined);
  };
  void simulation.commit(
    'set-up',
    dataCentres.map((dataCentre) => ({
      kind: 'put-data-centre',
      dataCentre: { ...dataCentre, state: 'in-service' },
    })),
  );
  await simulation.run(startUpMs);
  await simulation.run(2000 + random() * 1000, stepLoad);

  simulation.setStoreOutage(condition === 'store-down');
  simulation.setIsolated(isolatedNode, condition === 'one-node-cut-off');
  const withdrawnAt = simulation.now();
  simulation.withdraw('withdraw', leavingDataCentre);
  await simulation.run(noticeMs, stepLoad);
  isDown = true;
  await simulation.run(downMs, stepLoad);
  const lastDispatchMs =
    Math.max(withdrawnAt, ...load.lastDispatches(leavingDataCentre).values()) - withdrawnAt;

  isDown = false;
  simulation.setStoreOutage(false);
  simulation.setIsolated(isolatedNode, false);
  // Leaves time for a withdrawal made during the store outage to be written before the return.
  await simulation.run(afterReturnMs / 2, stepLoad);
  const returnedAt = simulation.now();
  let routedEverywhereAt: Milliseconds | undefined;
  void simulation.commit('return', [{ kind: 'return-data-centre', id: leavingDataCentre }]);
  await simulation.run(afterReturnMs, () => {
    stepLoad();
    if (simulation.nodes().every((node) => node.routesTo(leavingDataCentre))) {
      routedEverywhereAt ??= simulation.now();
    }
  });
  const figures: Figures = {
    condition,
    nodes_count: nodeCount,
    complete_and_once_share: load.completed() / load.total(),
    requests_count: load.total(),
    lookups_count: load.lookups(),
    late_lookups_count: load.lateLookups(),
    last_new_work_after_call_ms: lastDispatchMs,
    in_service_everywhere_after_return_ms: (routedEverywhereAt ?? Infinity) - returnedAt,
  };
  await simulation.close();
  return figures;
};

/**
 * A data centre is withdrawn at short notice and returns, under load: 8 nodes on a virtual clock with
 * the real control planes, and a model of callers and upstreams. After the withdrawal the upstreams of
 * the data centre stay up for 10 s.
 */
export const measurement: Measurement = {
  name: 'data-centre-leave-return',
  policies: ['naive', 'current'],
  defaultSeeds: 10,
  run: async ({ seed, policy }) => {
    const rows: Figures[] = [];
    for (const condition of conditions) {
      rows.push(await measure(condition, seed, policy === 'naive' ? 'naive' : 'current'));
    }
    return rows;
  },
};
