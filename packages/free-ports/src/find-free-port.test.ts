import { createServer, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { findFreePort, lastFreePort } from './find-free-port.js';

const host = '127.0.0.1';

describe('free ports', () => {
  it('lie outside the range of outgoing connections', async () => {
    // Guards against a port that an outgoing connection takes before its process listens on it.
    const outgoing = createServer();
    await new Promise<void>((resolve) => outgoing.listen(0, host, resolve));
    const { port: chosenBySystem } = outgoing.address() as AddressInfo;
    outgoing.close();
    expect(chosenBySystem).to.be.greaterThan(lastFreePort);
    for (let count = 0; count < 20; count += 1) {
      expect(await findFreePort(host)).to.be.lessThan(lastFreePort);
    }
  });

  it('can be listened on', async () => {
    const port = await findFreePort(host);
    const server = createServer();
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    server.close();
  });
});
