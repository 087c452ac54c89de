import { randomInt } from 'node:crypto';
import { createServer } from 'node:net';

/** Ports below those that the system gives to outgoing connections (on Linux from 32,768). */
export const firstFreePort = 20_000;
export const lastFreePort = 32_000;
const maxTries = 100;

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

/** Finds a port on which nothing listens; rejects when none of many is free. */
export const findFreePort = async (host: string): Promise<number> => {
  for (let tries = 0; tries < maxTries; tries += 1) {
    const port = randomInt(firstFreePort, lastFreePort);
    if (await isFree(host, port)) {
      return port;
    }
  }
  throw new Error(`no free port between ${String(firstFreePort)} and ${String(lastFreePort)}`);
};
