import { Clock } from '@zinniagrade/clock';
import { connectFrames, encodeFrame } from '@zinniagrade/frames';
import { Counters } from '@zinniagrade/logger';
import type { NodeMessage } from '@zinniagrade/types';
import { expect } from 'chai';
import { nodeMessageSchema } from './message-schema.js';
import { NodeLink } from './node-link.js';
import { fromWire, toWire } from './wire-format.js';

const idle = {
  upstream: 'u1',
  requests: 0,
  memoryTokens: 0,
  wantedRequests: 0,
  wantedMemoryTokens: 0,
  completed: 0,
  failed: 0,
};

const messages: readonly NodeMessage[] = [
  {
    kind: 'credit-demand',
    sequence: 1,
    inFlight: [
      idle,
      { ...idle, requests: 2, firstTokenMs: 3, warm: false },
      { ...idle, failed: 1 },
    ],
  },
  {
    kind: 'credit-grant',
    sequence: 1,
    limits: [{ upstream: 'u1', slots: 1, memoryTokens: 0, validMs: 2000, warm: true }],
  },
  { kind: 'configuration-pull', haveRevision: 3 },
];

describe('wire format', () => {
  it('decodes every message to what was encoded', () => {
    for (const message of messages) {
      expect(nodeMessageSchema.parse(fromWire(toWire(message)))).to.deep.equal(message);
    }
  });

  it('encodes an idle upstream in less than 10 bytes', () => {
    const bytes = (count: number): number =>
      encodeFrame(toWire({ kind: 'credit-demand', sequence: 1, inFlight: Array(count).fill(idle) }))
        .map(({ length }) => length)
        .orDefault(0);
    expect((bytes(110) - bytes(10)) / 100).to.be.below(10);
  });

  it('leaves a malformed row to be rejected by the schema', () => {
    for (const inFlight of ['x', [3], [['u', 'many']]]) {
      const document = fromWire(['d', 1, null, inFlight]);
      expect(nodeMessageSchema.safeParse(document).success).to.equal(false);
    }
  });
});

describe('node link', () => {
  it('counts a malformed message, closes the link, and does not deliver the message', async () => {
    const counters = Counters.create('test');
    const received: NodeMessage[] = [];
    const options = { nodeId: 'n0', host: '127.0.0.1', port: 0, secret: 's' };
    const link = await NodeLink.create(options, Clock.create(), counters, {
      onUp: () => undefined,
      onDown: () => undefined,
      onMessage: (_, message) => received.push(message),
    });
    await new Promise<void>((resolve) => {
      connectFrames(
        { host: '127.0.0.1', port: link.port },
        { secret: 's', name: 'n1' },
        {
          onOpen: (connection) => {
            connection.send({ kind: 'configuration-pull', haveRevision: -1 });
          },
          onMessage: () => undefined,
          onClose: () => {
            resolve();
          },
        },
      );
    });
    expect(received).to.deep.equal([]);
    expect(Object.keys(counters.totals()).join()).to.match(/node-link-malformed/);
    await link.close();
  });
});
