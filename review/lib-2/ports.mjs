import { createServer } from 'node:net';

/** Returns free ports of the loopback address. */
export const freePorts = async (count) => {
  const servers = [];
  for (let index = 0; index < count; index += 1) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
    servers.push(server);
  }
  const ports = servers.map((server) => server.address().port);
  await Promise.all(servers.map((server) => new Promise((resolve) => server.close(resolve))));
  return ports;
};
