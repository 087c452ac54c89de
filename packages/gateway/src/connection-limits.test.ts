import { createServer, request } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { limitServerConnections } from './connection-limits.js';
import { Log } from './log.js';

const host = '127.0.0.1';
/** Half of them are for callers. */
const maxSockets = 8;

describe('limits of connections', () => {
  it('close silent connections for new ones, and none with a request', async () => {
    // Guards against callers that are kept out, or whose request is cut, by those that send nothing.
    const clock = VirtualClock.create();
    const lines: unknown[] = [];
    const log: Log = { ...Log.createSilent(), event: (_name, fields) => lines.push(fields) };
    const server = createServer((message, response) => {
      if (message.url !== '/held') {
        response.end();
      }
    });
    limitServerConnections(server, 'caller', maxSockets, clock, log);
    await new Promise<void>((resolve) => server.listen(0, host, resolve));
    const { port } = server.address() as AddressInfo;
    const isClosed = new Map<Socket, boolean>();
    const open = async (text: string): Promise<Socket> => {
      const socket = connect(port, host);
      isClosed.set(socket, false);
      socket.on('error', () => undefined).once('close', () => isClosed.set(socket, true));
      await new Promise((resolve) => server.once('connection', resolve));
      if (text !== '') {
        socket.write(text);
        await new Promise((resolve) => server.once('request', resolve));
      }
      return socket;
    };
    const held = await open('GET /held HTTP/1.1\r\nHost: a\r\n\r\n');
    const silent = [await open(''), await open(''), await open('')];
    clock.advance(2000);
    for (let count = 0; count < 2; count += 1) {
      const status = await new Promise((resolve, reject) => {
        request({ host, port, agent: false }, (response) => {
          response.resume().once('close', () => {
            resolve(response.statusCode);
          });
        })
          .on('error', reject)
          .end();
      });
      expect(status).to.equal(200);
    }
    const more = [await open(''), await open(''), await open('')];
    await new Promise((resolve) => setTimeout(resolve, 50));
    clock.advance(1000);
    expect(isClosed.get(held)).to.equal(false);
    expect(silent.map((socket) => isClosed.get(socket))).to.deep.equal([true, true, true]);
    expect(more.map((socket) => isClosed.get(socket))).to.deep.equal([false, false, false]);
    expect(lines).to.deep.equal([{ server: 'caller', limit: 4, closed: 3 }]);
    for (const socket of isClosed.keys()) {
      socket.destroy();
    }
    server.close();
  });
});
