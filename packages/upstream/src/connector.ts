import { connect } from 'node:net';
import type { Socket } from 'node:net';
import type { Milliseconds } from '@zinniagrade/types';
import type { buildConnector } from 'undici';

const readBufferBytes = 64 * 1024;

/**
 * Creates sockets that read into one shared buffer and copy only the bytes received. Otherwise each
 * read would allocate 64 KB for a line of less than 100 bytes.
 */
export const createConnector = (timeoutMs: Milliseconds): buildConnector.connector => {
  const readBuffer = Buffer.allocUnsafe(readBufferBytes);
  return (options, callback) => {
    const socket: Socket = connect({
      host: options.hostname,
      port: Number(options.port === '' ? 80 : options.port),
      noDelay: true,
      keepAlive: true,
      onread: {
        buffer: readBuffer,
        callback: (bytes, buffer): boolean => socket.push(Buffer.from(buffer.subarray(0, bytes))),
      },
    });
    const timer = setTimeout(() => {
      socket.destroy(new Error(`no connection within ${timeoutMs} ms`));
    }, timeoutMs);
    const fail = (error: Error): void => {
      clearTimeout(timer);
      callback(error, null);
    };
    socket.once('error', fail);
    socket.once('connect', () => {
      clearTimeout(timer);
      socket.off('error', fail);
      callback(null, socket);
    });
    return socket;
  };
};
