import { createServer, type AddressInfo } from 'node:net';
import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { Listeners } from './listeners.js';
import { Log } from './log.js';

const host = '127.0.0.1';

const createLog = () => {
  const lines: string[] = [];
  const log: Log = { ...Log.createSilent(), event: (name) => lines.push(name) };
  return { log, lines };
};

describe('listeners', () => {
  it('reject an address that can never be opened', async () => {
    // Guards against a process that waits without end for an address that does not exist.
    const { log } = createLog();
    const listeners = Listeners.create(VirtualClock.create(), log);
    const opened = await listeners.open(createServer(), `${host}:70000`).catch(String);
    expect(opened).to.match(/port/);
  });

  it('log an error of an open server', async () => {
    // Guards against a failed accept that ends the process as an unhandled error.
    const { log, lines } = createLog();
    const server = createServer();
    await Listeners.create(VirtualClock.create(), log).open(server, `${host}:0`);
    server.emit('error', new Error('accept EMFILE'));
    expect(lines).to.deep.equal(['server error']);
    server.close();
  });

  it('stop all attempts', async () => {
    // Guards against a server that is opened while the process shuts down.
    const { log } = createLog();
    const clock = VirtualClock.create();
    const holder = createServer();
    const listeners = Listeners.create(clock, log);
    await listeners.open(holder, `${host}:0`);
    const { port } = holder.address() as AddressInfo;
    const server = createServer();
    const opened = listeners.open(server, `${host}:${String(port)}`);
    await new Promise((resolve) => server.once('error', resolve));
    listeners.stop();
    expect(await opened).to.equal(false);
    await new Promise((resolve) => holder.close(resolve));
    clock.advance(1000);
    expect(server.listening).to.equal(false);
  });
});
