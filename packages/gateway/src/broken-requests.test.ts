import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { refuseBrokenRequests } from './broken-requests.js';
import { Log } from './log.js';

/** Sends a request, and the given bytes while it is served; returns all that is received. */
const sendDuringRequest = (bytes: string, servingMs: number): Promise<string> =>
  new Promise((resolve) => {
    const server = createServer({ connectionsCheckingInterval: 20 }, (message, response) => {
      message.resume();
      setTimeout(() => response.end('answer'), servingMs);
    });
    server.headersTimeout = 100;
    refuseBrokenRequests(server, Log.createSilent());
    server.listen(0, '127.0.0.1', () => {
      const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
      let received = '';
      socket.on('data', (chunk) => (received += chunk.toString()));
      socket.on('error', () => undefined);
      socket.on('close', () => {
        server.close();
        resolve(received);
      });
      socket.write('POST /first HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx');
      setTimeout(() => socket.write(bytes), 20);
    });
  });

describe('requests that cannot be read', () => {
  for (const [name, bytes] of [
    ['that is not complete in time', 'POST /second HTTP/1.1\r\nHo'],
    ['that is no request', 'garbage\r\n\r\n'],
  ] as const) {
    it(`do not take the place of the response before: one ${name}`, async () => {
      // Guards against a request that runs and is answered with 408, the promise that it did not.
      const received = await sendDuringRequest(bytes, 400);
      expect(received).to.match(/^HTTP\/1.1 200 OK/);
      expect(received).to.not.match(/ 40[08] /);
    });

    it(`are refused if no request is served before them: one ${name}`, async () => {
      // Guards against connections that stay open after what can't be read.
      const received = await sendDuringRequest(bytes, 0);
      expect(received).to.match(/HTTP\/1.1 40[08] /);
    });
  }
});
