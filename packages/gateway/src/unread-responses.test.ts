import { createServer, type Server, type ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { Clock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { Log } from './log.js';
import { UnreadResponses } from './unread-responses.js';

const megabyte = 1024 * 1024;
/** More than the buffers of the system take. */
const largeBody = Buffer.alloc(24 * megabyte, 'x');

const sleep = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

describe('unread responses', () => {
  let server: Server;
  let unread: UnreadResponses;
  let respond: (response: ServerResponse) => void;
  let caller: Socket;

  const connectCaller = async (): Promise<void> => {
    const { port } = server.address() as AddressInfo;
    caller = connect(port, '127.0.0.1');
    caller.on('error', () => undefined);
    caller.pause();
    caller.write('GET / HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n');
    await sleep(100);
  };

  beforeEach(async () => {
    unread = UnreadResponses.create(Clock.create(), Log.createSilent(), 40 * megabyte);
    server = createServer((_request, response) => {
      respond(response);
    });
    await new Promise<void>((resolve) => {
      server.listen(0, '127.0.0.1', resolve);
    });
  });

  afterEach(() => {
    unread.stop();
    caller.destroy();
    server.closeAllConnections();
    server.close();
  });

  it('counts a body until its caller has read it', async () => {
    // Guards against answers that are no longer counted while they wait in a caller's queue.
    respond = (response) => {
      response.writeHead(200, { 'content-length': largeBody.length });
      unread.end(response, largeBody);
    };
    await connectCaller();
    expect(unread.heldBytes()).to.equal(largeBody.length);
    let receivedBytes = 0;
    caller.on('data', (bytes) => (receivedBytes += bytes.length));
    caller.resume();
    await new Promise((resolve) => caller.once('close', resolve));
    expect(receivedBytes).to.be.greaterThan(largeBody.length);
    expect(unread.heldBytes()).to.equal(0);
  });

  it('resets a caller that does not read, after a while, and no sooner', async () => {
    // Guards against an end in order, which would make an answer that was cut look complete.
    respond = (response) => {
      response.writeHead(200);
      unread.end(response, largeBody);
    };
    await connectCaller();
    expect(unread.shed(1)).to.equal(0);
    await sleep(400);
    expect(unread.shed(1)).to.equal(largeBody.length);
    expect(unread.heldBytes()).to.equal(0);
    let lastBytes = '';
    caller.on('data', (bytes) => (lastBytes = bytes.subarray(-5).toString()));
    caller.resume();
    await new Promise((resolve) => caller.once('close', resolve));
    expect(lastBytes).to.equal('xxxxx');
  });

  it('gives up streams that hold more than the limit together', async () => {
    // Guards against streams that are each below their limit and together above the memory.
    let gaveUp = 0;
    respond = (response) => {
      response.writeHead(200);
      response.write(Buffer.alloc(50 * megabyte));
      unread.recordWrite(response, () => {
        gaveUp += 1;
        response.destroy();
      });
    };
    await connectCaller();
    await sleep(600);
    expect(gaveUp).to.equal(1);
    expect(unread.heldBytes()).to.equal(0);
  });
});
