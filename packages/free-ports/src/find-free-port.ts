import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';

/**
 * Range of ports to choose from; the end is exclusive. It lies below the ephemeral ports, which the
 * system assigns to outgoing connections (on Linux from 32,768).
 */
export const portRangeStart = 20_000;
export const portRangeEnd = 32_000;
const maxAttempts = 100;
/** Ports that are given out together are in use, or free again, long before so many others are. */
const maxRemembered = 2000;
/** Ports that were given out last, which their processes may not listen on yet. */
const givenOut = new Set<number>();

const remember = (port: number): void => {
  givenOut.add(port);
  for (const oldest of givenOut) {
    if (givenOut.size <= maxRemembered) {
      break;
    }
    givenOut.delete(oldest);
  }
};

const isFree = (host: string, port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => {
      resolve(false);
    });
    server.listen(port, host, () => {
      server.close(() => {
        resolve(true);
      });
    });
  });

/**
 * Finds a port on which nothing listens, and that this process was not given lately; rejects if none
 * of 100 random ports is free.
 */
export const findFreePort = async (host: string): Promise<number> => {
  for (let attempts = 0; attempts < maxAttempts; attempts += 1) {
    const port = randomInt(portRangeStart, portRangeEnd);
    if (givenOut.has(port)) {
      continue;
    }
    remember(port);
    if (await isFree(host, port)) {
      return port;
    }
  }
  throw new Error(
    `no free port on ${host} between ${String(portRangeStart)} and ${String(portRangeEnd)} after ${String(maxAttempts)} attempts`,
  );
};
