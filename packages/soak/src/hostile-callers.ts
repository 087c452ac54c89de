import { connect, type Socket } from 'node:net';
import { formatRequestHead, type HostileRequest } from '@zinniagrade/platform-adapter/standins';
import type { HostileCalls } from './hostile-fault-plan.js';

/** Connections of callers that use up memory. They are opened again when a gateway closes them. */
export interface HostileCallers {
  readonly stop: () => void;
}

export interface HostileCallersOptions {
  readonly address: string;
  readonly key: string;
  readonly calls: HostileCalls;
  readonly connections: number;
}

const statedBodyBytes = 1_000_000;
const sentBodyBytes = 300_000;
const chunkBytes = 2000;
const chunkIntervalMs = 100;
const reopenAfterMs = 1000;

const formatChunk = (bytes: number): Buffer =>
  Buffer.concat([
    Buffer.from(`${bytes.toString(16)}\r\n`),
    Buffer.alloc(bytes, 'x'),
    Buffer.from('\r\n'),
  ]);

const firstChunk = formatChunk(sentBodyBytes);
const laterChunk = formatChunk(chunkBytes);
const stoppedBody = Buffer.alloc(sentBodyBytes, 'x');

let requestCount = 0;

const writeHead = (
  socket: Socket,
  key: string,
  request: Pick<HostileRequest, 'bodyLength' | 'wantsLargeAnswer'>,
): void => {
  requestCount += 1;
  socket.write(formatRequestHead({ id: `hostile-${String(requestCount)}`, key, ...request }));
};

/** Sends chunks without end, as fast as the gateway reads them. */
const sendChunks = (socket: Socket): void => {
  socket.write(firstChunk);
  const timer = setInterval(() => {
    if (!socket.writableNeedDrain) {
      socket.write(laterChunk);
    }
  }, chunkIntervalMs);
  socket.on('close', () => {
    clearInterval(timer);
  });
};

/** Reads nothing in the case of unread answers: a socket without a listener is never drained. */
const useConnection = (socket: Socket, { calls, key }: HostileCallersOptions): void => {
  switch (calls) {
    case 'stopped-bodies':
      writeHead(socket, key, { bodyLength: statedBodyBytes, wantsLargeAnswer: false });
      socket.write(stoppedBody);
      socket.resume();
      return;
    case 'endless-bodies':
      writeHead(socket, key, { bodyLength: undefined, wantsLargeAnswer: false });
      sendChunks(socket);
      socket.resume();
      return;
    case 'unread-answers':
      writeHead(socket, key, { bodyLength: 0, wantsLargeAnswer: true });
      return;
    case 'idle':
      socket.resume();
  }
};

export const HostileCallers = {
  create: (options: HostileCallersOptions): HostileCallers => {
    const [host, port] = options.address.split(':');
    const sockets = new Set<Socket>();
    let stopped = false;

    const open = (): void => {
      if (stopped) {
        return;
      }
      const socket = connect({ host: host ?? '', port: Number(port) }, () => {
        useConnection(socket, options);
      });
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        sockets.delete(socket);
        setTimeout(open, reopenAfterMs);
      });
    };

    for (let index = 0; index < options.connections; index += 1) {
      open();
    }
    return {
      stop: () => {
        stopped = true;
        for (const socket of sockets) {
          socket.destroy();
        }
      },
    };
  },
};
