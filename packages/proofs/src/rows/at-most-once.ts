import fc from 'fast-check';
import { createCallProof } from '../data-path/call-proof.js';
import { accountSecret } from '../data-path/fixture.js';
import type { Child } from '../processes/index.js';
import {
  TcpProxy,
  runConcurrently,
  requestJson,
  waitUntil,
  withFleet,
} from '../processes/index.js';
import type { Policy, Proof } from '../proof.js';

const share = (max: number): fc.Arbitrary<number> => fc.double({ min: 0.1, max, noNaN: true });

const workMs = 400;
const freezeMs = 2_500;
const answerTimeoutMs = 8_000;
/** How long to wait for the call to start at the service. */
const startTimeoutMs = 2_000;
const headers = { authorization: `Bearer acme.${accountSecret}` };

interface AddressAnswer {
  readonly addresses: readonly { readonly port: number }[];
  readonly idempotencyKeys: readonly string[];
}

/**
 * Returns an idempotency key and the port of the node that owns it, which alone may run a call with
 * this key.
 */
const fetchKeyAndOwner = async (
  policy: Policy,
  [first = 0]: readonly number[],
): Promise<{ readonly key: string; readonly ownerPort: number }> => {
  if (policy === 'naive') {
    return { key: 'key', ownerPort: first };
  }
  const answer = await fetch(`http://127.0.0.1:${first}/v1/address?service=notes`, { headers });
  const { addresses, idempotencyKeys } = (await answer.json()) as AddressAnswer;
  return { key: idempotencyKeys[0] ?? '', ownerPort: addresses[0]?.port ?? 0 };
};

const sendCall = async (port: number, key: string): Promise<string> => {
  try {
    const answer = await fetch(`http://127.0.0.1:${port}/v1/services/notes/calls`, {
      method: 'POST',
      headers: { ...headers, 'idempotency-key': key },
      body: JSON.stringify({ operation: 'issue', arguments: { order: 1 } }),
      signal: AbortSignal.timeout(answerTimeoutMs),
    });
    const { kind = 'answered' } = (await answer.json()) as { kind?: string };
    return kind;
  } catch {
    return 'cut';
  }
};

type Inject = (owner: Child | undefined, proxy: TcpProxy | undefined) => Promise<void>;

/** Injects the fault while a call runs; the caller then repeats the call at the other node. */
const createProcessProof = (fault: string, inject: Inject): Proof => ({
  promise: 'at-most-once',
  fault,
  run: async (policy) => {
    let proxy: TcpProxy | undefined;
    const proxyPortFor = async (_id: string, port: number): Promise<number> => {
      proxy = await TcpProxy.create(port);
      return proxy.port;
    };
    const options = { policy, nodes: 2, services: 1, serviceSettings: { workMs }, proxyPortFor };
    return withFleet(options, async ({ services, nodes, callerPorts }) => {
      const countRuns = async (): Promise<number> => {
        const port = services[0]?.ready.port ?? 0;
        const { runs } = await requestJson<{ runs: readonly { operation: string }[] }>(
          port,
          '/runs',
        );
        return runs.filter(({ operation }) => operation === 'issue').length;
      };
      const { key, ownerPort } = await fetchKeyAndOwner(policy, callerPorts);
      const otherPort = callerPorts.find((port) => port !== ownerPort) ?? 0;
      const first = sendCall(ownerPort, key);
      await waitUntil(async () => (await countRuns()) > 0, startTimeoutMs);
      await inject(nodes[callerPorts.indexOf(ownerPort)], proxy);
      const answers = await Promise.all([first, sendCall(otherPort, key)]);
      await new Promise((resolve) => setTimeout(resolve, workMs));
      const runs = await countRuns();
      await proxy?.close();
      return { held: runs === 1, detail: `${runs} runs, the caller heard ${answers.join(', ')}` };
    });
  },
});

const freezeOwner: Inject = (owner) => {
  owner?.freeze();
  setTimeout(() => {
    owner?.wake();
  }, freezeMs);
  return Promise.resolve();
};

export const proofs: readonly Proof[] = [
  createCallProof(
    'at-most-once',
    'caller-repeats-at-another-vm',
    fc.record({ lateRunShare: share(0.5), lostForwardShare: share(0.3) }),
  ),
  createCallProof(
    'at-most-once',
    'repeat-while-running',
    fc.record({ repeatShare: fc.constant(1) }),
    { chosenKeyShare: 1 },
  ),
  createCallProof(
    'at-most-once',
    'lost-reply',
    fc.record({ lostReplyShare: share(0.4), lostStoreReplyShare: share(0.5) }),
  ),
  createCallProof(
    'at-most-once',
    'store-outage',
    fc.record({
      storeOutage: fc.record({
        fromMs: fc.integer({ min: 0, max: 4_000 }),
        toMs: fc.integer({ min: 5_000, max: 10_000 }),
      }),
      repeatShare: fc.constant(0.5),
    }),
  ),
  ...runConcurrently([
    createProcessProof('process-kill', async (owner) => {
      await owner?.kill();
    }),
    createProcessProof('freeze', freezeOwner),
    createProcessProof('link-cut+process-kill', async (owner, proxy) => {
      proxy?.resetConnections();
      await owner?.kill();
    }),
  ]),
];
