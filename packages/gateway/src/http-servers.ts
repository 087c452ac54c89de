import { createServer, type Server } from 'node:http';

const addressPattern = /^(.*):(\d+)$/;
/** Connections that the operating system accepts ahead of the process. */
const connectionBacklog = 1024;

/** Starts a server at an address, as IP:PORT; rejects if it can't listen there. */
export const listen = (server: Server, address: string): Promise<void> =>
  new Promise((resolve, reject) => {
    const [, host, port] = addressPattern.exec(address) ?? [];
    server.once('error', reject);
    server.listen({ host, port: Number(port), backlog: connectionBacklog }, () => {
      server.off('error', reject);
      resolve();
    });
  });

/** HTTP server that answers 200 while this node is ready to serve callers, and 503 otherwise. */
export const createReadyServer = (isReady: () => boolean): Server =>
  createServer((_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 }).end();
  });
