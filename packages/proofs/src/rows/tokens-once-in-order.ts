import fc from 'fast-check';
import { runManySeeds } from '../data-path/many-seeds.js';
import type { StreamFault } from '../data-path/stream-simulation.js';
import { simulateStream } from '../data-path/stream-simulation.js';
import type { Child, Fleet, GenerationResult } from '../processes/index.js';
import {
  TestCaller,
  hasAllTokensInOrder,
  runConcurrently,
  requestJson,
  fetchStatus,
  withFleet,
} from '../processes/index.js';
import type { Policy, Proof } from '../proof.js';

const maxTokens = 60;
const scenarioCount = 300;

/**
 * Simulated streams in which each of the first connections to an engine has one of the given
 * faults.
 */
const createStreamProof = (fault: string, ...kinds: readonly StreamFault['kind'][]): Proof => ({
  promise: 'tokens-once-in-order',
  fault,
  run: (policy) =>
    runManySeeds(
      fc.record({
        tokens: fc.integer({ min: 2, max: maxTokens }),
        faults: fc.array(
          fc.record({
            kind: fc.constantFrom(...kinds),
            at: fc.integer({ min: 0, max: maxTokens }),
            forMs: fc.integer({ min: 0, max: 1_000 }),
          }),
          { minLength: 1, maxLength: 4 },
        ),
        slowShare: fc.constantFrom(0, 0.1),
      }),
      (seed, scenario) => Promise.resolve(simulateStream(policy, seed, scenario)),
      scenarioCount,
    ),
});

const streamCount = 4;
const streamTokens = 80;
/** The fault is injected after this many tokens over all streams. */
const faultAfterTokens = 60;
const reclaimNoticeMs = 150;

/** The entry node with the most open requests. */
const busiestNode = async (policy: Policy, { nodes }: Fleet): Promise<Child | undefined> => {
  if (policy === 'naive') {
    return nodes[0];
  }
  const counts = await Promise.all(
    nodes.map(async (node) => {
      const status = await fetchStatus<{ openRequests: number }>(node.ready.callerPort ?? 0);
      return { node, open: status.openRequests };
    }),
  );
  return counts.sort((a, b) => b.open - a.open)[0]?.node;
};

const killEngine = async ({ engines }: Fleet): Promise<void> => {
  await engines[0]?.kill();
};

const reclaimEngineAndKillNode = async (policy: Policy, fleet: Fleet): Promise<void> => {
  const [engine] = fleet.engines;
  await requestJson(engine?.ready.port ?? 0, '/faults', { kind: 'leave' });
  await new Promise((resolve) => setTimeout(resolve, reclaimNoticeMs));
  const node = await busiestNode(policy, fleet);
  await Promise.all([engine?.kill(), node?.kill()]);
};

/** Streams through two nodes and two engines as processes, with a fault injected midway. */
const createProcessProof = (
  fault: string,
  inject: (policy: Policy, fleet: Fleet) => Promise<void>,
): Proof => ({
  promise: 'tokens-once-in-order',
  fault,
  run: (policy) =>
    withFleet({ policy, nodes: 2, engines: 2 }, async (fleet) => {
      const caller = TestCaller.create(policy, fleet.callerPorts);
      let tokensSeen = 0;
      let injected: Promise<void> | undefined;
      const onToken = (): void => {
        tokensSeen += 1;
        if (tokensSeen === faultAfterTokens) {
          injected = inject(policy, fleet);
        }
      };
      const answers = await Promise.all(
        Array.from({ length: streamCount }, (): Promise<GenerationResult> =>
          caller.generate(`tokens=${streamTokens}`, { restart: true, onToken }),
        ),
      );
      await injected;
      await caller.close();
      const whole = answers.filter(
        ({ texts, isComplete }) => isComplete && hasAllTokensInOrder(texts, streamTokens),
      ).length;
      const counts = answers
        .map(({ texts, failure = 'ended' }) => `${texts.length} (${failure})`)
        .join(', ');
      return {
        held: whole === streamCount && injected !== undefined,
        detail: `${whole} of ${streamCount} streams whole and once, with ${counts} tokens`,
      };
    }),
});

export const proofs: readonly Proof[] = [
  createStreamProof('link-cut', 'cut'),
  createStreamProof('link-stall', 'stall'),
  createStreamProof('repeated-line', 'repeat'),
  createStreamProof('dropped-line', 'drop'),
  createStreamProof('line-of-another-generation', 'foreign'),
  createStreamProof('generation-lost+link-cut', 'lose-generation', 'cut'),
  createStreamProof('all-stream-faults', 'cut', 'stall', 'repeat', 'drop', 'foreign'),
  ...runConcurrently([
    createProcessProof('node-killed', async (policy, fleet) => {
      await (await busiestNode(policy, fleet))?.kill();
    }),
    createProcessProof('engine-killed', (_policy, fleet) => killEngine(fleet)),
    createProcessProof('engine-reclaimed+node-killed', reclaimEngineAndKillNode),
  ]),
];
