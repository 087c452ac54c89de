import { ControlFixture } from '@zinniagrade/control';
import { Random } from '@zinniagrade/clock';
import type { MemberStatus, Milliseconds, NodeId } from '@zinniagrade/types';
import { fleetOf } from '../control/fleet.js';
import type { Figures, Measurement } from '../measurement.js';

interface Part {
  readonly nodes: number;
  readonly stepMs: Milliseconds;
  /** A split of 730 members takes too long for a run; its cost is in the floods of the healing. */
  readonly splits: boolean;
}

const parts: readonly Part[] = [
  { nodes: 8, stepMs: 10, splits: true },
  { nodes: 73, stepMs: 10, splits: true },
  { nodes: 730, stepMs: 20, splits: false },
];
const startUpMs: Milliseconds = 2500;
const steadyMs: Milliseconds = 2000;
const limitMs: Milliseconds = 8000;
const splitMs: Milliseconds = 20_000;
const healLimitMs: Milliseconds = 60_000;
const secondMs = 1000;

const pick = <T>(items: readonly T[], random: Random): T =>
  items[Math.floor(random() * items.length)] as T;

/** Whether every running node but the member itself sees it so; gone members are not in the view. */
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
  const side = (id: NodeId): boolean => Number(id.slice(1)) < count / 3;
  fixture.network.setPartition((a, b) => side(a) !== side(b));
  await fixture.run(splitMs);
  const views = () => [...fixture.nodes.values()].map(({ control }) => control.view());
  const largest = Math.max(...views().map(({ members }) => members.length));
  fixture.network.setPartition(() => false);
  const isWhole = (): boolean =>
    views().every(
      ({ members }) => members.filter(({ status }) => status === 'alive').length === count - 1,
    );
  return {
    split_largest_side_count: largest,
    split_healed_ms: await timeUntil(fixture, isWhole, healLimitMs),
  };
};

const measure = async (part: Part, seed: number): Promise<Figures> => {
  const nodes = fleetOf(part.nodes);
  const fixture = await ControlFixture.create({
    seed,
    nodes,
    stepMs: part.stepMs,
    joined: true,
  });
  const random = Random.create(seed);
  await fixture.run(startUpMs);

  const use = () => nodes.map(({ nodeId }) => fixture.network.usage(nodeId));
  const before = use();
  const cpuBefore = process.cpuUsage();
  await fixture.run(steadyMs);
  const cpu = process.cpuUsage(cpuBefore);
  const seconds = steadyMs / secondMs;
  const sent = use().map(
    ({ sentBytes }, index) => (sentBytes - (before[index]?.sentBytes ?? 0)) / seconds,
  );
  const messages = use().map(
    ({ sentMessages }, index) => (sentMessages - (before[index]?.sentMessages ?? 0)) / seconds,
  );

  const [dead, leaver] = [pick(nodes.slice(0, -1), random), nodes.at(-1)];
  fixture.kill(dead.nodeId);
  const deathMs = await timeUntil(fixture, () => isSeenAs(fixture, dead.nodeId, 'gone'), limitMs);
  const returnedFrom = fixture.clock.wallMs() - 1;
  await fixture.start(dead);
  const returnMs = await timeUntil(
    fixture,
    () => isSeenAs(fixture, dead.nodeId, 'alive', returnedFrom),
    limitMs,
  );
  const leaverId = leaver?.nodeId ?? '';
  fixture.nodes.get(leaverId)?.control.announceLeaving();
  const leaveMs = await timeUntil(fixture, () => isSeenAs(fixture, leaverId, 'leaving'), limitMs);
  const split = part.splits ? await measureSplit(fixture) : {};
  await fixture.close();
  return {
    nodes_count: part.nodes,
    sent_per_node_mean_bytes_per_s: sent.reduce((sum, each) => sum + each, 0) / sent.length,
    sent_per_node_worst_bytes_per_s: Math.max(...sent),
    sent_per_node_mean_messages_per_s:
      messages.reduce((sum, each) => sum + each, 0) / messages.length,
    // Of the whole control part and the fakes around it.
    cpu_per_node_ms_per_s: (cpu.user + cpu.system) / secondMs / part.nodes / seconds,
    death_known_everywhere_ms: deathMs,
    return_known_everywhere_ms: returnMs,
    leave_known_everywhere_ms: leaveMs,
    ...split,
  };
};

/** Cost of the membership and time until a change is known at every node; virtual clock, fakes. */
export const measurement: Measurement = {
  name: 'membership',
  policies: ['current'],
  defaultSeeds: 10,
  run: async ({ seed }) => {
    const rows: Figures[] = [];
    for (const part of parts) {
      rows.push(await measure(part, seed));
    }
    return rows;
  },
};
