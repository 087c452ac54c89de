import { createServer, type Server } from 'node:http';

/**
 * HTTP server that answers 200 while this node is ready to serve callers, and 503 otherwise. A node
 * that reaches no upstream stays ready, as it can pass requests on to nodes that do.
 */
export const createReadyServer = (isReady: () => boolean): Server =>
  createServer((_request, response) => {
    response.writeHead(isReady() ? 200 : 503, { 'content-length': 0 }).end();
  });
