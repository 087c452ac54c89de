import { createServer, type Server } from 'node:http';
import type { Log } from './log.js';
import type { NodeEntry } from './view.js';

/** What the directory knows of the nodes at the time of a question. */
export interface DirectoryState {
  readonly node: string;
  readonly ownAddress: string;
  readonly ready: boolean;
  readonly nodes: Iterable<NodeEntry>;
  /** Nodes that this one hears from. */
  readonly connected: ReadonlySet<string>;
  /** Links need this long to open after the start; until then registrations count alone. */
  readonly linksSettled: boolean;
}

/**
 * Addresses that callers may use. A node that is registered but not heard from is left out: its
 * registration outlives it while the store is away.
 */
export const chooseAddresses = (state: DirectoryState): readonly string[] => {
  const addresses = new Set<string>();
  if (state.ready) {
    addresses.add(state.ownAddress);
  }
  for (const entry of state.nodes) {
    const alive = state.connected.has(entry.node) || !state.linksSettled;
    if (entry.node !== state.node && !entry.leaving && alive) {
      addresses.add(entry.callerAddress);
    }
  }
  return [...addresses];
};

/** Answers callers that ask where to connect. */
export const createDirectoryServer = (
  log: Log,
  addresses: () => readonly string[],
  write: (addresses: readonly string[]) => Buffer,
): Server =>
  createServer((request, response) => {
    const found = addresses();
    if (found.length === 0) {
      log.decision('directory has no address', { url: request.url });
      response.writeHead(503, { 'content-length': 0 }).end();
      return;
    }
    const body = write(found);
    response
      .writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
      .end(body);
  });
