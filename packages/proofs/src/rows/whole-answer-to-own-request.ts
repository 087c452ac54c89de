import { createUpstream, accountSecret } from '../data-path/fixture.js';
import {
  startLocalEngine,
  startLocalNode,
  startLocalService,
  withServers,
} from '../data-path/local-node.js';
import { TestCaller, hasAllTokensInOrder, requestJson } from '../processes/index.js';
import type { Policy, Proof, Verdict } from '../proof.js';

const tokenCount = 30;
const prompt = `tokens=${tokenCount}`;
const stallMs = 500;

/** Engines stall for longer than the idle timeout of the node, and answer later. */
const stallEngines = (policy: Policy): Promise<Verdict> =>
  withServers(async (closeLater) => {
    const engines = [closeLater(await startLocalEngine()), closeLater(await startLocalEngine())];
    const upstreams = engines.map(({ port }, index) => createUpstream(`e${index}`, port, 'engine'));
    const node = closeLater(await startLocalNode(policy, upstreams));
    const caller = TestCaller.create(policy, [node.port]);
    let tokensSeen = 0;
    const onToken = (): void => {
      tokensSeen += 1;
      if (tokensSeen === 5) {
        for (const { port } of engines) {
          void requestJson(port, '/faults', { kind: 'stall', forMs: stallMs });
        }
      }
    };
    const { texts } = await caller.generate(prompt, { onToken });
    await caller.close();
    return {
      held: hasAllTokensInOrder(texts, tokenCount),
      detail: `${texts.length} of ${tokenCount} tokens, of ${new Set(texts.map((text) => text.split('/')[0])).size} generations`,
    };
  });

const callCount = 8;

/** Two services swap the answers of concurrent requests. */
const crossAnswers = (policy: Policy): Promise<Verdict> =>
  withServers(async (closeLater) => {
    const services = [closeLater(await startLocalService()), closeLater(await startLocalService())];
    for (const { port } of services) {
      await requestJson(port, '/faults', [{ kind: 'crossed', count: 2 }]);
    }
    const upstreams = services.map(({ port }, index) => createUpstream(`p${index}`, port, 'plain'));
    const node = closeLater(await startLocalNode(policy, upstreams));
    const caller = TestCaller.create(policy, [node.port]);
    const getsOwnAnswer = async (order: string): Promise<boolean> => {
      const { echo } = await caller.call('status', order);
      return (echo as { readonly order?: string } | undefined)?.order === order;
    };
    const results = await Promise.all(
      Array.from({ length: callCount }, (_, order) => getsOwnAnswer(`${order}`)),
    );
    await caller.close();
    const count = results.filter(Boolean).length;
    return {
      held: count === callCount,
      detail: `${count} of ${callCount} callers got their own answer`,
    };
  });

/** An account tries to resume a stream with the resume token of another account. */
const resumeWithForeignToken = (policy: Policy): Promise<Verdict> =>
  withServers(async (closeLater) => {
    const engine = closeLater(await startLocalEngine());
    const upstreams = [createUpstream('e0', engine.port, 'engine')];
    const node = closeLater(await startLocalNode(policy, upstreams));
    const url = `http://127.0.0.1:${node.port}/v1`;
    const stream = await fetch(`${url}/services/reports/generations`, {
      method: 'POST',
      headers: { authorization: `Bearer acme.${accountSecret}` },
      body: JSON.stringify({ prompt }),
    });
    const [, token = ''] = /^id: (.*)$/m.exec(await stream.text()) ?? [];
    const resumed = await fetch(`${url}/generations`, {
      headers: { authorization: `Bearer other.${accountSecret}`, 'last-event-id': token },
    });
    const text = await resumed.text();
    const count = text.split('event: token').length - 1;
    return {
      held: token !== '' && count === 0 && resumed.status === 400,
      detail: `another account was answered ${resumed.status} with ${count} tokens`,
    };
  });

export const proofs: readonly Proof[] = [
  { promise: 'whole-answer-to-own-request', fault: 'late-answers', run: stallEngines },
  { promise: 'whole-answer-to-own-request', fault: 'crossed-answers', run: crossAnswers },
  {
    promise: 'whole-answer-to-own-request',
    fault: 'resume-token-of-another-account',
    run: resumeWithForeignToken,
  },
];
