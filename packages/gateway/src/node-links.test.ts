import { Clock } from '@zinniagrade/clock';
import { findFreePort } from '@zinniagrade/free-ports';
import { expect } from 'chai';
import type { NodeEntry } from './cluster-state.js';
import { Log } from './log.js';
import { NodeLinks } from './node-links.js';
import type { NodeMessage } from './node-message.js';

interface LinkedNode {
  readonly links: NodeLinks;
  readonly received: readonly NodeMessage[];
  readonly opened: Promise<void>;
}

/** Two nodes with a link between them. */
const linkNodes = async (): Promise<readonly LinkedNode[]> => {
  const clock = Clock.create();
  const entries: NodeEntry[] = [];
  const nodes: LinkedNode[] = [];
  for (const node of ['n1', 'n2']) {
    const nodeAddress = `127.0.0.1:${String(await findFreePort('127.0.0.1'))}`;
    const place = { dataCentre: 'a', capacity: 1, leaving: false };
    entries.push({ node, nodeAddress, callerAddress: '127.0.0.1:1', ...place });
    const received: NodeMessage[] = [];
    let links: NodeLinks | undefined;
    const opened = new Promise<void>((resolve, reject) => {
      NodeLinks.create(clock, Log.createSilent(), {
        node,
        address: nodeAddress,
        secret: 's',
        peers: () => entries.filter((entry) => entry.node !== node),
        onMessage: (_from, message) => received.push(message),
        onOpen: () => {
          resolve();
        },
        onLost: () => undefined,
      }).then((created) => (links = created), reject);
    });
    await new Promise((resolve) => setTimeout(resolve, 20));
    if (links === undefined) {
      throw new Error('the node does not listen');
    }
    nodes.push({ links, received, opened });
  }
  await Promise.all(nodes.map(({ opened }) => opened));
  return nodes;
};

describe('node links', () => {
  it('deliver a change whose value is larger than a frame', async () => {
    // Guards against a large configuration that stays unknown to all nodes that don't watch the store.
    const [first, second] = await linkNodes();
    const value = Buffer.alloc(1024 * 1024, 'x');
    first?.links.send(['n2'], {
      kind: 'changes',
      items: [{ key: 'a', revision: 7, value }],
      after: 6,
      revision: 7,
    });
    first?.links.send(['n2'], { kind: 'pull', after: 7 });
    while (second?.received.at(-1)?.kind !== 'pull') {
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    const [changes] = second.received;
    const items = changes?.kind === 'changes' ? changes.items : [];
    expect(items.map((item) => item.value?.equals(value))).to.deep.equal([true]);
    first?.links.close();
    second.links.close();
  });
});
