import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import { type AddressInfo, type Server, type Socket, connect, createServer } from 'node:net';
import { Failure } from '@zinniagrade/errors';
import { encodeFrame, FrameReader } from './frame-codec.js';
import { encodeMessage, MessageAssembler } from './message-parts.js';

const handshakeTimeoutMs = 2000;
/** A hello and a proof; anybody can connect, so that no more is held before the proof. */
const maxHandshakeBytes = 4096;
/** Connections to a server that have not proved who they are; above it the oldest is closed. */
const maxPendingHandshakes = 256;
/** Limit on unsent bytes; a peer that does not read fast enough to stay below it is cut off. */
const maxBufferedBytes = 4 * 1024 * 1024;

/** Name of one end of a connection, sent in the handshake and authenticated by the proof. */
export type PeerName = string;

export interface FrameConnection {
  readonly peer: PeerName;
  /** Returns false if the message is too large, the connection closed or its buffer full. */
  readonly send: (message: unknown) => boolean;
  /** Like `send`, for a message that is encoded once and sent to several peers. */
  readonly sendEncoded: (message: Buffer) => boolean;
  readonly close: () => void;
  readonly bytesSent: () => number;
  readonly bytesReceived: () => number;
}

export interface ConnectionHandlers {
  readonly onOpen: (connection: FrameConnection) => void;
  readonly onMessage: (connection: FrameConnection, message: unknown) => void;
  /** Called for each part of a large message, before its last one completes the message. */
  readonly onPart?: (connection: FrameConnection) => void;
  /** Called once; `failure` says why, and is absent after an orderly close. */
  readonly onClose: (connection: FrameConnection | undefined, failure?: Failure) => void;
}

export interface FrameSettings {
  /** Secret that is shared by all processes of the system. */
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

const asFields = (message: unknown): Fields =>
  typeof message === 'object' && message !== null ? (message as Fields) : {};

const parseHello = (message: unknown): Hello | undefined => {
  const { kind, name, nonce } = asFields(message);
  return kind === 'hello' && typeof name === 'string' && typeof nonce === 'string'
    ? { kind, name, nonce }
    : undefined;
};

const parseProof = (message: unknown): Proof | undefined => {
  const { kind, mac } = asFields(message);
  return kind === 'proof' && typeof mac === 'string' ? { kind, mac } : undefined;
};

/** The proof covers the prover's role and both nonces, which prevents replay and reflection. */
const computeProof = (
  secret: string,
  role: 'client' | 'server',
  prover: PeerName,
  clientNonce: string,
  serverNonce: string,
): string =>
  createHmac('sha256', secret)
    .update(JSON.stringify([role, prover, clientNonce, serverNonce]))
    .digest('hex');

const equalInConstantTime = (a: string, b: string): boolean => {
  const [left, right] = [Buffer.from(a), Buffer.from(b)];
  return left.length === right.length && timingSafeEqual(left, right);
};

const startConnection = (
  socket: Socket,
  role: 'client' | 'server',
  settings: FrameSettings,
  handlers: ConnectionHandlers,
): void => {
  const reader = FrameReader.create();
  const assembler = MessageAssembler.create();
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

  const writeHandshake = (message: Hello | Proof): boolean =>
    encodeFrame(message).caseOf({ Left: () => false, Right: writeFrame });

  const fail = (detail: string): void => {
    failure ??= Failure.create('protocol-violation', detail);
    socket.destroy();
  };

  const expectedProof = (hello: Hello): string =>
    role === 'client'
      ? computeProof(settings.secret, 'server', hello.name, nonce, hello.nonce)
      : computeProof(settings.secret, 'client', hello.name, hello.nonce, nonce);

  const ownProof = (hello: Hello): string =>
    role === 'client'
      ? computeProof(settings.secret, 'client', settings.name, nonce, hello.nonce)
      : computeProof(settings.secret, 'server', settings.name, hello.nonce, nonce);

  const openConnection = (hello: Hello): void => {
    clearTimeout(handshakeTimer);
    const failIfBacklogged = (): void => {
      if (!socket.destroyed && socket.writableLength >= maxBufferedBytes) {
        fail(
          `peer ${hello.name} does not read: ${socket.writableLength} bytes are waiting to be sent`,
        );
      }
    };
    connection = {
      peer: hello.name,
      send: (message) => {
        failIfBacklogged();
        return encodeMessage(message).caseOf({ Left: () => false, Right: writeFrame });
      },
      sendEncoded: (message) => {
        failIfBacklogged();
        return writeFrame(message);
      },
      close: () => {
        socket.end();
        socket.destroySoon();
      },
      bytesSent: () => socket.bytesWritten,
      bytesReceived: () => socket.bytesRead,
    };
    handlers.onOpen(connection);
  };

  const deliver = (openedConnection: FrameConnection, frame: unknown): void => {
    assembler.add(frame).caseOf({
      Left: ({ detail }) => {
        fail(detail);
      },
      Right: (arrival) => {
        if (arrival.kind === 'part') {
          handlers.onPart?.(openedConnection);
        } else {
          handlers.onMessage(openedConnection, arrival.message);
        }
      },
    });
  };

  const onFrame = (message: unknown): void => {
    if (connection !== undefined) {
      deliver(connection, message);
      return;
    }
    if (peerHello === undefined) {
      peerHello = parseHello(message);
      if (peerHello === undefined) {
        fail('handshake failed: the first frame is not a hello');
        return;
      }
      writeHandshake({ kind: 'proof', mac: ownProof(peerHello) });
      return;
    }
    const proof = parseProof(message);
    if (proof === undefined || !equalInConstantTime(proof.mac, expectedProof(peerHello))) {
      fail(`handshake failed: ${peerHello.name} did not prove knowledge of the shared secret`);
      return;
    }
    openConnection(peerHello);
  };

  const handshakeTimer = setTimeout(() => {
    fail(`handshake not completed within ${handshakeTimeoutMs} ms`);
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
          onFrame(message);
        }
      },
    });
    if (connection === undefined && socket.bytesRead > maxHandshakeBytes) {
      fail(`handshake failed: more than ${maxHandshakeBytes} bytes`);
    }
  });
  socket.on('error', (error) => {
    failure ??= Failure.create('upstream-unreachable', error.message);
  });
  socket.on('close', () => {
    clearTimeout(handshakeTimer);
    handlers.onClose(connection, failure);
  });
  writeHandshake({ kind: 'hello', name: settings.name, nonce });
};

/** Connects to a server. `onClose` is also called if the connection never opened. */
export const connectFrames = (
  address: { readonly host: string; readonly port: number },
  settings: FrameSettings,
  handlers: ConnectionHandlers,
): { readonly close: () => void } => {
  const socket = connect(address.port, address.host);
  startConnection(socket, 'client', settings, handlers);
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

/** Starts a server; rejects if the port is in use. Port 0 chooses a free port. */
export const listenFrames = (
  address: { readonly host: string; readonly port: number },
  settings: FrameSettings,
  handlers: ConnectionHandlers,
): Promise<FrameServer> =>
  new Promise((resolve, reject) => {
    const sockets = new Set<Socket>();
    const pending = new Set<Socket>();
    const closeOldestPending = (): void => {
      const [oldest] = pending;
      if (oldest !== undefined && pending.size > maxPendingHandshakes) {
        oldest.destroy();
        pending.delete(oldest);
      }
    };
    const server: Server = createServer((socket) => {
      sockets.add(socket);
      pending.add(socket);
      closeOldestPending();
      socket.on('close', () => {
        sockets.delete(socket);
        pending.delete(socket);
      });
      startConnection(socket, 'server', settings, {
        ...handlers,
        onOpen: (connection) => {
          pending.delete(socket);
          handlers.onOpen(connection);
        },
      });
    });
    server.once('error', reject);
    server.listen(address.port, address.host, () => {
      server.off('error', reject);
      server.on('error', (error) => {
        handlers.onClose(undefined, Failure.create('upstream-unreachable', error.message));
      });
      resolve({
        port: (server.address() as AddressInfo).port,
        close: () =>
          new Promise((resolveClose) => {
            for (const socket of sockets) {
              socket.destroy();
            }
            server.close(() => {
              resolveClose();
            });
          }),
      });
    });
  });
