import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';
import { Random, VirtualClock } from '@zinniagrade/clock';
import { Control, type NodeControl } from '@zinniagrade/control';
import { Counters, Logger } from '@zinniagrade/logger';
import type { Member, Milliseconds } from '@zinniagrade/types';
import { Right } from 'purify-ts';
import { createFleet } from '../control/fleet.js';
import {
  createFullSizeConfiguration,
  createReadOnlyStore,
} from '../control/full-size-configuration.js';
import { SimulatedPeers, usageOf } from '../control/simulated-peers.js';
import type { Figures, Measurement } from '../measurement.js';

const nodeCount = 730;
const startUpMs: Milliseconds = 6000;
const measuredMs: Milliseconds = 40_000;
const stepMs: Milliseconds = 20;
/** Distance between the indexes of the nodes that successive seeds measure. */
const nodeIndexStep = 67;
/** Upstreams with requests of the node in flight: 30 on each, 1,120 streams in all. */
const busyUpstreamCount = 37;
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
  const nodes = createFleet(nodeCount);
  const wait = (ms: Milliseconds): Promise<void> =>
    new Promise((resolve) => {
      clock.after(ms, resolve);
    });
  const configuration = createFullSizeConfiguration(nodes);
  const members = nodes.map((node): Member => ({
    ...node,
    incarnation: 1,
    processIncarnation: 1,
    host: node.nodeId,
    callerPort: 80,
    linkPort: 7000,
    status: 'alive',
  }));
  const index = (seed * nodeIndexStep) % nodeCount;
  const self = members[index];
  if (self === undefined) {
    throw new Error(`the fleet has no node ${index}`);
  }
  // Nodes of the same region first, as these are the ones that request limits from this node.
  const others = members
    .filter(({ nodeId }) => nodeId !== self.nodeId)
    .sort((a, b) => Number(b.region === self.region) - Number(a.region === self.region));
  const peers = SimulatedPeers.create(clock, self, others, configuration);
  const store = createReadOnlyStore(configuration, wait);

  const heapBefore = heapBytes();
  const controlHolder: { control?: NodeControl } = {};
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
      openLink: peers.openLink,
      dataPath: {
        collectInFlight: () =>
          [...(controlHolder.control?.view().limits.keys() ?? [])]
            .slice(0, busyUpstreamCount)
            .map((id) => usageOf(id, 30)),
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
  controlHolder.control = control;
  await run(clock, startUpMs);
  const [bytesBefore, cpuBefore] = [peers.bytes(), process.cpuUsage()];
  await run(clock, measuredMs);
  const cpu = process.cpuUsage(cpuBefore);
  const bytes = peers.bytes();
  const heapAfter = heapBytes();
  const view = control.view();
  const seconds = measuredMs / secondMs;
  await control.close();
  peers.close();
  return {
    nodes_count: nodeCount,
    upstreams_count: Object.keys(view.configuration.upstreams).length,
    owned_upstreams_count: view.loadReports.size,
    limits_held_count: view.limits.size,
    // Includes the encoding of the messages that the simulated peers send.
    cpu_share: (cpu.user + cpu.system) / secondMs / measuredMs,
    memory_growth_megabytes: (heapAfter - heapBefore) / megabyte,
    sent_bytes_per_s: (bytes.sent - bytesBefore.sent) / seconds,
    received_bytes_per_s: (bytes.received - bytesBefore.received) / seconds,
  };
};

/**
 * CPU, memory and traffic of the control plane of one node in a fleet of 730; virtual clock,
 * simulated peers, fake store.
 */
export const measurement: Measurement = {
  name: 'control-cost',
  policies: ['current'],
  defaultSeeds: 10,
  run: async ({ seed }) => [await measure(seed)],
};
