import { createServer, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { findFreePort, portRangeEnd } from './find-free-port.js';

const host = '127.0.0.1';

describe('findFreePort', () => {
  it('returns ports outside the ephemeral range', async () => {
    // An outgoing connection could take an ephemeral port before the process listens on it.
    const outgoing = createServer();
    await new Promise<void>((resolve) => outgoing.listen(0, host, resolve));
    const { port: ephemeralPort } = outgoing.address() as AddressInfo;
    outgoing.close();
    expect(ephemeralPort).to.be.greaterThan(portRangeEnd);
    for (let count = 0; count < 20; count += 1) {
      expect(await findFreePort(host)).to.be.lessThan(portRangeEnd);
    }
  });

  it('returns a port that can be listened on', async () => {
    const port = await findFreePort(host);
    const server = createServer();
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    server.close();
  });

  it('returns no port twice while nothing listens on it yet', async () => {
    // Guards against two servers of one process that are to listen on the same port.
    const count = 1000;
    const ports = new Set<number>();
    for (let found = 0; found < count; found += 1) {
      ports.add(await findFreePort(host));
    }
    expect(ports.size).to.equal(count);
  });
});
