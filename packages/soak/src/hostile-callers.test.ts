import { createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { expect } from 'chai';
import { HostileCallers } from './hostile-callers.js';
import type { HostileCalls } from './hostile-fault-plan.js';
import { sleep } from './sleep.js';

interface Received {
  readonly server: Server;
  readonly sockets: Socket[];
  readonly texts: Map<Socket, string>;
}

const listen = async (): Promise<Received> => {
  const sockets: Socket[] = [];
  const texts = new Map<Socket, string>();
  const server = createServer((socket) => {
    sockets.push(socket);
    socket.on('error', () => undefined);
    socket.on('data', (bytes) => texts.set(socket, (texts.get(socket) ?? '') + bytes.toString()));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, sockets, texts };
};

const startCalls = ({ server }: Received, calls: HostileCalls): HostileCallers => {
  const address = `127.0.0.1:${String((server.address() as AddressInfo).port)}`;
  return HostileCallers.create({ address, key: 'key-1', calls, connections: 3 });
};

describe('hostile callers', () => {
  for (const [calls, head] of [
    ['stopped-bodies', 'Content-Length: 1000000'],
    ['endless-bodies', 'Transfer-Encoding: chunked'],
  ] as const) {
    it(`send 300 kB of a body that never ends (${calls})`, async () => {
      // Guards against a fault that holds no memory of a gateway.
      const received = await listen();
      const callers = startCalls(received, calls);
      const isSent = (): boolean =>
        [...received.texts.values()].filter(({ length }) => length > 300_000).length === 3;
      while (!isSent()) {
        await sleep(10);
      }
      callers.stop();
      received.server.close();
      for (const text of received.texts.values()) {
        expect(text).to.include(head);
        expect(text).not.to.match(/\r\n0\r\n\r\n$/);
      }
    }).timeout(20_000);
  }

  it('leave large answers unread', async () => {
    // Guards against callers whose answers flow out of the gateway at once.
    const received = await listen();
    const callers = startCalls(received, 'unread-answers');
    while (received.texts.size < 3) {
      await sleep(10);
    }
    const answer = Buffer.alloc(20_000_000);
    for (const socket of received.sockets) {
      socket.write(answer);
    }
    await sleep(300);
    expect(received.sockets.every(({ writableLength }) => writableLength > 0)).to.equal(true);
    callers.stop();
    received.server.close();
  }).timeout(20_000);

  it('connect again when they are disconnected, until they stop', async () => {
    // Guards against a gateway that passes because it closes each connection once.
    const received = await listen();
    const callers = startCalls(received, 'idle');
    while (received.sockets.length < 3) {
      await sleep(10);
    }
    for (const socket of received.sockets) {
      socket.destroy();
    }
    while (received.sockets.length < 6) {
      await sleep(10);
    }
    callers.stop();
    received.server.close();
    expect(received.sockets).to.have.length(6);
  }).timeout(20_000);
});
