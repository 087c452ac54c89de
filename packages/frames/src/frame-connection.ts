import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';
import { Failure } from '@zinniagrade/errors';
import { encodeFrame, FrameReader } from './frame-codec.js';

const handshakeTimeoutMs = 2000;
/** Bytes waiting towards a peer that does not read; past this the connection is cut. */
const maxBufferedBytes = 4 * 1024 * 1024;

/** Name of one end, sent in the handshake and bound to it by the proof. */
export type PeerName = string;

export interface FrameConnection {
  readonly peer: PeerName;
  /** False when the frame was not taken: too large, or the connection is closed or far behind. */
  readonly send: (message: unknown) => boolean;
  /** Like `send`, for a frame that goes to several peers and was encoded once. */
  readonly sendEncoded: (frame: Buffer) => boolean;
  readonly close: () => void;
  readonly bytesSent: () => number;
  readonly bytesReceived: () => number;
}

export interface ConnectionEvents {
  readonly onOpen: (connection: FrameConnection) => void;
  readonly onMessage: (connection: FrameConnection, message: unknown) => void;
  /** Called once. The failure says why, and is absent after an orderly close. */
  readonly onClose: (connection: FrameConnection | undefined, failure?: Failure) => void;
}

export interface FrameSettings {
  /** Known to every process of the system and to nobody else. */
  readonly secret: string;
  readonly name: PeerName;
}

interface Hello {
  readonly kind: 'hello';
  readonly name: PeerName;
  readonly nonce: string;
}

interface Proof {
  readonly kind: 'proof';
  readonly mac: string;
}

type Fields = Readonly<Record<string, unknown>>;

const fieldsOf = (message: unknown): Fields =>
  typeof message === 'object' && message !== null ? (message as Fields) : {};

const readHello = (message: unknown): Hello | undefined => {
  const { kind, name, nonce } = fieldsOf(message);
  return kind === 'hello' && typeof name === 'string' && typeof nonce === 'string'
    ? { kind, name, nonce }
    : undefined;
};

const readProof = (message: unknown): Proof | undefined => {
  const { kind, mac } = fieldsOf(message);
  return kind === 'proof' && typeof mac === 'string' ? { kind, mac } : undefined;
};

/** The prover's role and both nonces are in the proof, so that it can't be replayed or reflected. */
const proofOf = (
  secret: string,
  role: 'client' | 'server',
  prover: PeerName,
  clientNonce: string,
  serverNonce: string,
): string =>
  createHmac('sha256', secret)
    .update(JSON.stringify([role, prover, clientNonce, serverNonce]))
    .digest('hex');

const sameText = (a: string, b: string): boolean => {
  const [left, right] = [Buffer.from(a), Buffer.from(b)];
  return left.length === right.length && timingSafeEqual(left, right);
};

const attach = (
  socket: Socket,
  role: 'client' | 'server',
  settings: FrameSettings,
  events: ConnectionEvents,
): void => {
  const reader = FrameReader.create();
  const nonce = randomBytes(16).toString('hex');
  let peerHello: Hello | undefined;
  let connection: FrameConnection | undefined;
  let failure: Failure | undefined;
  socket.setNoDelay(true);

  const writeFrame = (frame: Buffer): boolean => {
    if (socket.destroyed || socket.writableLength >= maxBufferedBytes) {
      return false;
    }
    socket.write(frame);
    return true;
  };

  const write = (message: unknown): boolean =>
    encodeFrame(message).caseOf({ Left: () => false, Right: writeFrame });

  const fail = (detail: string): void => {
    failure ??= Failure.create('protocol-violation', detail);
    socket.destroy();
  };

  const expectedProof = (hello: Hello): string =>
    role === 'client'
      ? proofOf(settings.secret, 'server', hello.name, nonce, hello.nonce)
      : proofOf(settings.secret, 'client', hello.name, hello.nonce, nonce);

  const ownProof = (hello: Hello): string =>
    role === 'client'
      ? proofOf(settings.secret, 'client', settings.name, nonce, hello.nonce)
      : proofOf(settings.secret, 'server', settings.name, hello.nonce, nonce);

  const open = (hello: Hello): void => {
    clearTimeout(timer);
    const cutIfBehind = (): void => {
      if (!socket.destroyed && socket.writableLength >= maxBufferedBytes) {
        fail(`peer ${hello.name} does not read`);
      }
    };
    connection = {
      peer: hello.name,
      send: (message) => {
        cutIfBehind();
        return write(message);
      },
      sendEncoded: (frame) => {
        cutIfBehind();
        return writeFrame(frame);
      },
      close: () => {
        socket.end();
        socket.destroySoon();
      },
      bytesSent: () => socket.bytesWritten,
      bytesReceived: () => socket.bytesRead,
    };
    events.onOpen(connection);
  };

  const accept = (message: unknown): void => {
    if (connection !== undefined) {
      events.onMessage(connection, message);
      return;
    }
    if (peerHello === undefined) {
      peerHello = readHello(message);
      if (peerHello === undefined) {
        fail('the first frame is not a hello');
        return;
      }
      write({ kind: 'proof', mac: ownProof(peerHello) } satisfies Proof);
      return;
    }
    const proof = readProof(message);
    if (proof === undefined || !sameText(proof.mac, expectedProof(peerHello))) {
      fail(`wrong secret from ${peerHello.name}`);
      return;
    }
    open(peerHello);
  };

  const timer = setTimeout(() => {
    fail('no handshake in time');
  }, handshakeTimeoutMs);
  socket.on('data', (bytes) => {
    reader.push(bytes).caseOf({
      Left: ({ detail }) => {
        fail(detail);
      },
      Right: (messages) => {
        for (const message of messages) {
          if (socket.destroyed) {
            return;
          }
          accept(message);
        }
      },
    });
  });
  socket.on('error', (error) => {
    failure ??= Failure.create('upstream-unreachable', error.message);
  });
  socket.on('close', () => {
    clearTimeout(timer);
    events.onClose(connection, failure);
  });
  write({ kind: 'hello', name: settings.name, nonce } satisfies Hello);
};

/** Opens a connection. `onClose` is called also when it never opened. */
export const connectFrames = (
  address: { readonly host: string; readonly port: number },
  settings: FrameSettings,
  events: ConnectionEvents,
): { readonly close: () => void } => {
  const socket = connect(address.port, address.host);
  attach(socket, 'client', settings, events);
  return {
    close: () => {
      socket.destroy();
    },
  };
};

export interface FrameServer {
  readonly port: number;
  readonly close: () => Promise<void>;
}

/** Listens; rejects when the port is taken. Port 0 takes a free one. */
export const listenFrames = (
  address: { readonly host: string; readonly port: number },
  settings: FrameSettings,
  events: ConnectionEvents,
): Promise<FrameServer> =>
  new Promise((resolve, reject) => {
    const sockets = new Set<Socket>();
    const server: Server = createServer((socket) => {
      sockets.add(socket);
      socket.on('close', () => sockets.delete(socket));
      attach(socket, 'server', settings, events);
    });
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      server.off('error', reject);
      resolve({
        port: (server.address() as AddressInfo).port,
        close: () =>
          new Promise((done) => {
            for (const socket of sockets) {
              socket.destroy();
            }
            server.close(() => {
              done();
            });
          }),
      });
    });
  });
