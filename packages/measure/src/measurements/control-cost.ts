import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Random, VirtualClock } from '@zinniagrade/clock';
import { Control, type NodeControl } from '@zinniagrade/control';
import { Counters, Logger } from '@zinniagrade/logger';
import type { Member, Milliseconds } from '@zinniagrade/types';
import { Right } from 'purify-ts';
import { fleetOf } from '../control/fleet.js';
import { fullConfiguration, readOnlyStore } from '../control/full-state.js';
import { Surroundings, useOf } from '../control/surroundings.js';
import type { Figures, Measurement } from '../measurement.js';

const nodeCount = 730;
const startUpMs: Milliseconds = 6000;
const measuredMs: Milliseconds = 40_000;
const stepMs: Milliseconds = 20;
/** Each seed measures another node. */
const nodesBetweenSeeds = 67;
/** Upstreams on which the node has work: 1,120 streams, 30 on each. */
const busyUpstreams = 37;
const secondMs = 1000;
const megabyte = 1024 * 1024;

const heapBytes = (): number => {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  const { heapUsed, external } = process.memoryUsage();
  return heapUsed + external;
};

const run = async (clock: VirtualClock, forMs: Milliseconds): Promise<void> => {
  for (let passed = 0; passed < forMs; passed += stepMs) {
    clock.advance(stepMs);
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
  }
};

const measure = async (seed: number): Promise<Figures> => {
  const clock = VirtualClock.create();
  const nodes = fleetOf(nodeCount);
  const wait = (ms: Milliseconds): Promise<void> =>
    new Promise((resolve) => {
      clock.after(ms, resolve);
    });
  const configuration = fullConfiguration(nodes);
  const members = nodes.map((node): Member => ({
    ...node,
    incarnation: 1,
    processIncarnation: 1,
    host: node.nodeId,
    callerPort: 80,
    linkPort: 7000,
    status: 'alive',
  }));
  const index = (seed * nodesBetweenSeeds) % nodeCount;
  const self = members[index];
  if (self === undefined) {
    throw new Error('the fleet is empty');
  }
  // Same region as the node itself first, as these are the ones that ask it for limits.
  const others = members
    .filter(({ nodeId }) => nodeId !== self.nodeId)
    .sort((a, b) => Number(b.region === self.region) - Number(a.region === self.region));
  const surroundings = Surroundings.create(clock, self, others, configuration);
  const store = readOnlyStore(configuration, wait);

  const heapBefore = heapBytes();
  const running: { control?: NodeControl } = {};
  const control = await Control.create(
    { ...self, seeds: [], holdMs: 30_000, knownMembers: others },
    {
      clock,
      random: Random.create(seed),
      logger: Logger.createSilent(),
      counters: Counters.create(self.nodeId),
      event: () => undefined,
      store,
      vms: { list: () => Promise.resolve(Right([])) },
      openLink: surroundings.open,
      dataPath: {
        collectInFlight: () =>
          [...(running.control?.view().limits.keys() ?? [])]
            .slice(0, busyUpstreams)
            .map((id) => useOf(id, 30)),
        collectVersionEvidence: () => [],
        answerForward: () => Promise.resolve({ ok: true, result: null }),
        openRequests: () => 0,
      },
      readLoad: ({ capacity, version }) =>
        Promise.resolve(
          Right({
            sequence: clock.monotonicMs(),
            at: clock.wallMs(),
            running: 40,
            waiting: 0,
            memoryTokensUsed: 0,
            memoryTokensTotal: capacity.memoryTokens,
            preemptions: 0,
            warm: true,
            version,
          }),
        ),
    },
  );
  running.control = control;
  await run(clock, startUpMs);
  const [useBefore, cpuBefore] = [surroundings.use(), process.cpuUsage()];
  await run(clock, measuredMs);
  const cpu = process.cpuUsage(cpuBefore);
  const use = surroundings.use();
  const heapAfter = heapBytes();
  const view = control.view();
  const seconds = measuredMs / secondMs;
  await control.close();
  surroundings.close();
  return {
    nodes_count: nodeCount,
    upstreams_count: Object.keys(view.configuration.upstreams).length,
    owned_upstreams_count: view.loadReports.size,
    limits_held_count: view.limits.size,
    // Encoding of what the other nodes send is part of it.
    cpu_share: (cpu.user + cpu.system) / secondMs / measuredMs,
    memory_growth_megabytes: (heapAfter - heapBefore) / megabyte,
    sent_bytes_per_s: (use.sent - useBefore.sent) / seconds,
    received_bytes_per_s: (use.received - useBefore.received) / seconds,
  };
};

/** Cost of the control part of one node with its share of the state of 730; virtual clock, fakes. */
export const measurement: Measurement = {
  name: 'control-cost',
  policies: ['current'],
  defaultSeeds: 10,
  run: async ({ seed }) => [await measure(seed)],
};
