import { createServer } from 'node:http';
import { connect, type AddressInfo } from 'node:net';
import { expect } from 'chai';
import { onResponseClose } from './response-close.js';

const delay = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

describe('the close of a response', () => {
  it('is told once for each, also for one that waits when its connection closes', async () => {
    // Guards against memory that is held for ever for requests that were sent ahead.
    const closed: string[] = [];
    const server = createServer((message, response) => {
      onResponseClose(response, () => closed.push(message.url ?? ''));
      if (message.url === '/done') {
        response.end();
      }
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
    const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
    for (const path of ['/done', '/open', '/waiting']) {
      socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`);
    }
    await delay(200);
    expect(closed).to.deep.equal(['/done']);
    socket.destroy();
    await delay(200);
    expect(closed.sort()).to.deep.equal(['/done', '/open', '/waiting']);
    server.close();
  });
});
