import { connect } from 'node:net';
import { expect } from 'chai';
import { encodeFrame, FrameReader, maxFrameBytes } from './frame-codec.js';
import { encodeMessage, MessageAssembler, maxMessageBytes } from './message-parts.js';
import {
  type ConnectionHandlers,
  type FrameConnection,
  connectFrames,
  listenFrames,
} from './frame-connection.js';

const encode = (message: unknown): Buffer => encodeFrame(message).orDefault(Buffer.alloc(0));

const noHandlers: ConnectionHandlers = {
  onOpen: () => undefined,
  onMessage: () => undefined,
  onClose: () => undefined,
};

const address = { host: '127.0.0.1', port: 0 };

describe('frame reader', () => {
  it('decodes messages wherever the bytes are split', () => {
    const bytes = Buffer.concat([encode({ a: 1 }), encode(['b', 2])]);
    for (let cut = 0; cut <= bytes.length; cut += 1) {
      const reader = FrameReader.create();
      const first = reader.push(bytes.subarray(0, cut)).orDefault([]);
      const second = reader.push(bytes.subarray(cut)).orDefault([]);
      expect([...first, ...second]).to.deep.equal([{ a: 1 }, ['b', 2]]);
    }
  });

  it('takes little time for a large frame that comes byte by byte', () => {
    // Guards against a process that stops for the square of the bytes that a peer sends.
    const message = { text: 'x'.repeat(maxFrameBytes - 100) };
    const frame = encodeFrame(message).unsafeCoerce();
    const reader = FrameReader.create();
    const messages: unknown[] = [];
    const beganAtMs = performance.now();
    for (let index = 0; index < frame.length; index += 1) {
      messages.push(...reader.push(frame.subarray(index, index + 1)).unsafeCoerce());
    }
    expect(performance.now() - beganAtMs).to.be.below(500);
    expect(messages).to.deep.equal([message]);
  });

  it('rejects a length over the limit before it has received the body', () => {
    const header = Buffer.alloc(4);
    header.writeUInt32BE(maxFrameBytes + 1, 0);
    expect(FrameReader.create().push(header).isLeft()).to.equal(true);
  });

  it('decodes nothing after a body that is not CBOR', () => {
    const reader = FrameReader.create();
    expect(reader.push(Buffer.from([0, 0, 0, 1, 0xff])).isLeft()).to.equal(true);
    expect(reader.push(encode({ a: 1 })).isLeft()).to.equal(true);
  });
});

/** Sends messages from a client to a server; returns what arrives, and the number of parts before. */
const deliver = (messages: readonly unknown[]): Promise<[readonly unknown[], number]> =>
  new Promise((resolve) => {
    const received: unknown[] = [];
    let parts = 0;
    const serverHandlers: ConnectionHandlers = {
      ...noHandlers,
      onMessage: (_connection, message) => {
        received.push(message);
        if (received.length === messages.length) {
          resolve([received, parts]);
          void listening.then((server) => server.close());
        }
      },
      onPart: () => (parts += 1),
    };
    const listening = listenFrames(address, { secret: 's', name: 'server' }, serverHandlers);
    const onOpen = (connection: FrameConnection): void => {
      for (const message of messages) {
        connection.send(message);
      }
    };
    void listening.then(({ port }) => {
      const settings = { secret: 's', name: 'client' };
      connectFrames({ ...address, port }, settings, { ...noHandlers, onOpen });
    });
  });

const partOf = (rest: unknown): object => ({
  kind: 'message-part',
  rest,
  bytes: new Uint8Array(1),
});

describe('message in parts', () => {
  it('arrives whole if it is larger than a frame', async () => {
    // Guards against a store value above the frame limit that reaches no other node.
    const value = Buffer.alloc(4 * maxFrameBytes, 'x');
    const [[first, second], parts] = await deliver([{ value }, { after: 1 }]);
    expect(Buffer.from((first as { value: Uint8Array }).value).equals(value)).to.equal(true);
    expect(second).to.deep.equal({ after: 1 });
    expect(parts).to.be.greaterThan(1);
  });

  it('is refused where it would exceed the memory limit', () => {
    expect(encodeMessage(Buffer.alloc(maxMessageBytes + 1)).isLeft()).to.equal(true);
    const assembler = MessageAssembler.create();
    const bytes = new Uint8Array(maxFrameBytes / 2);
    const count = (2 * maxMessageBytes) / maxFrameBytes + 1;
    let isRefused = false;
    for (let rest = count; rest > 0 && !isRefused; rest -= 1) {
      isRefused = assembler.add({ kind: 'message-part', rest, bytes }).isLeft();
    }
    expect(isRefused).to.equal(true);
  });

  it('is refused if a part is missing or malformed', () => {
    // Guards against a message that is joined from parts of two others.
    const assembler = MessageAssembler.create();
    expect(assembler.add(partOf(3)).isRight()).to.equal(true);
    expect(assembler.add(partOf(1)).isLeft()).to.equal(true);
    expect(MessageAssembler.create().add(partOf(-1)).isLeft()).to.equal(true);
    expect(MessageAssembler.create().add(partOf(0)).isRight()).to.equal(true);
  });
});

describe('frame connection', () => {
  it('delivers messages between ends that share the secret', async () => {
    let onMessage: ConnectionHandlers['onMessage'] = () => undefined;
    const received = new Promise((resolve) => {
      onMessage = ({ peer }, message) => {
        resolve([peer, message]);
      };
    });
    const server = await listenFrames(
      address,
      { secret: 's', name: 'server' },
      {
        ...noHandlers,
        onMessage: (connection, message) => {
          onMessage(connection, message);
        },
      },
    );
    connectFrames(
      { ...address, port: server.port },
      { secret: 's', name: 'client' },
      {
        ...noHandlers,
        onOpen: (connection) => {
          connection.send({ hello: 'there' });
        },
      },
    );
    expect(await received).to.deep.equal(['client', { hello: 'there' }]);
    await server.close();
  });

  it('does not open at either end if the secrets differ', async () => {
    let opened = 0;
    const handlers: ConnectionHandlers = { ...noHandlers, onOpen: () => (opened += 1) };
    const server = await listenFrames(address, { secret: 'right', name: 'server' }, handlers);
    const failure = await new Promise((resolve) => {
      connectFrames(
        { ...address, port: server.port },
        { secret: 'wrong', name: 'client' },
        {
          ...handlers,
          onClose: (_: FrameConnection | undefined, reason) => {
            resolve(reason);
          },
        },
      );
    });
    await server.close();
    expect(failure).to.not.equal(undefined);
    expect(opened).to.equal(0);
  });

  it('closes without ever opening if the peer ends in the middle of a frame', async () => {
    const closed = new Promise((resolve) => {
      void listenFrames(
        address,
        { secret: 's', name: 'server' },
        {
          ...noHandlers,
          onClose: (connection) => {
            resolve(connection);
          },
        },
      ).then((server) => {
        const socket = connect(server.port, address.host);
        socket.on('error', () => undefined);
        socket.write(Buffer.from([0, 0, 0, 9, 1, 2]));
        socket.end();
        socket.on('close', () => void server.close());
      });
    });
    expect(await closed).to.equal(undefined);
  });
});

describe('handshakes of frame servers', () => {
  it('end after more bytes than a handshake has', async () => {
    // Guards against a process whose memory is filled by peers that never prove who they are.
    const server = await listenFrames(address, { secret: 's', name: 'server' }, noHandlers);
    const socket = connect(server.port, address.host);
    const isClosed = new Promise((resolve) => socket.once('close', resolve));
    socket.on('error', () => undefined);
    socket.resume();
    const header = Buffer.alloc(4);
    header.writeUInt32BE(maxFrameBytes, 0);
    socket.write(Buffer.concat([header, Buffer.alloc(8192)]));
    await isClosed;
    await server.close();
  }).timeout(1500);

  it('are bounded in number, and the oldest is closed for a new one', async () => {
    // Guards against peers that take all file descriptors without proving who they are.
    const server = await listenFrames(address, { secret: 's', name: 'server' }, noHandlers);
    let closed = 0;
    const sockets = Array.from({ length: 300 }, () => {
      const socket = connect(server.port, address.host);
      socket.on('error', () => undefined);
      socket.on('close', () => (closed += 1));
      return socket.resume();
    });
    await new Promise((resolve) => setTimeout(resolve, 700));
    expect(closed).to.equal(300 - 256);
    for (const socket of sockets) {
      socket.destroy();
    }
    await server.close();
  });
});
