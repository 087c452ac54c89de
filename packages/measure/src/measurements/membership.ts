import { ControlFixture } from '@zinniagrade/control';
import { Random } from '@zinniagrade/clock';
import type { MemberStatus, Milliseconds, NodeId } from '@zinniagrade/types';
import { createFleet } from '../control/fleet.js';
import type { Figures, Measurement } from '../measurement.js';

interface FleetCase {
  readonly nodes: number;
  readonly stepMs: Milliseconds;
  /**
   * False for 730 members, where a split takes too long to simulate because of the flood of updates
   * on healing.
   */
  readonly measuresSplit: boolean;
}

const fleetCases: readonly FleetCase[] = [
  { nodes: 8, stepMs: 10, measuresSplit: true },
  { nodes: 73, stepMs: 10, measuresSplit: true },
  { nodes: 730, stepMs: 20, measuresSplit: false },
];
const startUpMs: Milliseconds = 2500;
const steadyMs: Milliseconds = 2000;
const changeTimeoutMs: Milliseconds = 8000;
const splitMs: Milliseconds = 20_000;
const healTimeoutMs: Milliseconds = 60_000;
const secondMs = 1000;

const pick = <T>(items: readonly T[], random: Random): T =>
  items[Math.floor(random() * items.length)] as T;

/**
 * Whether every running node other than the member itself sees it with this status, and with a higher
 * incarnation than the given one. Members that are gone are not in the view.
 */
const isSeenAs = (
  fixture: ControlFixture,
  id: NodeId,
  status: MemberStatus,
  incarnation = 0,
): boolean =>
  [...fixture.nodes.values()].every(({ nodeId, control }) => {
    const seen = control.view().members.find((member) => member.nodeId === id);
    return (
      nodeId === id ||
      (status === 'gone'
        ? seen === undefined
        : seen?.status === status && seen.incarnation > incarnation)
    );
  });

const timeUntil = async (
  fixture: ControlFixture,
  condition: () => boolean,
  withinMs: Milliseconds,
): Promise<Milliseconds> => {
  const from = fixture.clock.monotonicMs();
  return (await fixture.runUntil(condition, withinMs))
    ? fixture.clock.monotonicMs() - from
    : Infinity;
};

const measureSplit = async (fixture: ControlFixture): Promise<Figures> => {
  const count = fixture.nodes.size;
  const isOnSmallSide = (id: NodeId): boolean => Number(id.slice(1)) < count / 3;
  fixture.network.setPartition((a, b) => isOnSmallSide(a) !== isOnSmallSide(b));
  await fixture.run(splitMs);
  const views = () => [...fixture.nodes.values()].map(({ control }) => control.view());
  const largest = Math.max(...views().map(({ members }) => members.length));
  fixture.network.setPartition(() => false);
  const isHealed = (): boolean =>
    views().every(
      ({ members }) => members.filter(({ status }) => status === 'alive').length === count - 1,
    );
  return {
    split_largest_side_count: largest,
    split_healed_ms: await timeUntil(fixture, isHealed, healTimeoutMs),
  };
};

const measure = async (fleetCase: FleetCase, seed: number): Promise<Figures> => {
  const nodes = createFleet(fleetCase.nodes);
  const fixture = await ControlFixture.create({
    seed,
    nodes,
    stepMs: fleetCase.stepMs,
    joined: true,
  });
  const random = Random.create(seed);
  await fixture.run(startUpMs);

  const networkUsage = () => nodes.map(({ nodeId }) => fixture.network.usage(nodeId));
  const before = networkUsage();
  const cpuBefore = process.cpuUsage();
  await fixture.run(steadyMs);
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = steadyMs / secondMs;
  const sent = networkUsage().map(
    ({ sentBytes }, index) => (sentBytes - (before[index]?.sentBytes ?? 0)) / seconds,
  );
  const messages = networkUsage().map(
    ({ sentMessages }, index) => (sentMessages - (before[index]?.sentMessages ?? 0)) / seconds,
  );

  const [killed, leaver] = [pick(nodes.slice(0, -1), random), nodes.at(-1)];
  fixture.kill(killed.nodeId);
  const deathMs = await timeUntil(
    fixture,
    () => isSeenAs(fixture, killed.nodeId, 'gone'),
    changeTimeoutMs,
  );
  const returnedAfter = fixture.clock.wallMs() - 1;
  await fixture.start(killed);
  const returnMs = await timeUntil(
    fixture,
    () => isSeenAs(fixture, killed.nodeId, 'alive', returnedAfter),
    changeTimeoutMs,
  );
  const leaverId = leaver?.nodeId ?? '';
  fixture.nodes.get(leaverId)?.control.announceLeaving();
  const leaveMs = await timeUntil(
    fixture,
    () => isSeenAs(fixture, leaverId, 'leaving'),
    changeTimeoutMs,
  );
  const split = fleetCase.measuresSplit ? await measureSplit(fixture) : {};
  await fixture.close();
  return {
    nodes_count: fleetCase.nodes,
    sent_per_node_mean_bytes_per_s: sent.reduce((sum, each) => sum + each, 0) / sent.length,
    sent_per_node_worst_bytes_per_s: Math.max(...sent),
    sent_per_node_mean_messages_per_s:
      messages.reduce((sum, each) => sum + each, 0) / messages.length,
    // CPU time of the whole control plane and of the fakes around it.
    cpu_per_node_ms_per_s: (cpu.user + cpu.system) / secondMs / fleetCase.nodes / seconds,
    death_known_everywhere_ms: deathMs,
    return_known_everywhere_ms: returnMs,
    leave_known_everywhere_ms: leaveMs,
    ...split,
  };
};

/**
 * Cost of the membership protocol and time until a change is known at every node; virtual clock,
 * fake network and store.
 */
export const measurement: Measurement = {
  name: 'membership',
  policies: ['current'],
  defaultSeeds: 10,
  run: async ({ seed }) => {
    const rows: Figures[] = [];
    for (const fleetCase of fleetCases) {
      rows.push(await measure(fleetCase, seed));
    }
    return rows;
  },
};
