import { createServer, type Server } from 'node:http';
import type { Log } from './log.js';
import type { NodeEntry } from './cluster-state.js';

/** State of the nodes at the time of a directory request. */
export interface DirectoryInput {
  readonly node: string;
  readonly ownAddress: string;
  readonly ready: boolean;
  readonly nodes: Iterable<NodeEntry>;
  /** Nodes that this node receives messages from, directly or via relays. */
  readonly connected: ReadonlySet<string>;
  /** Nodes that reach no upstream of any service, this one included. */
  readonly cutOff: ReadonlySet<string>;
  /**
   * Whether node links have had time to open since the start; until then registrations alone
   * decide.
   */
  readonly linksSettled: boolean;
}

/**
 * Returns the addresses that callers may use. Leaves out registered nodes that send no messages: the
 * registration of a dead node stays while the store is unavailable. Leaves out nodes that reach no
 * upstream, as long as another one is left.
 */
export const chooseAddresses = (state: DirectoryInput): readonly string[] => {
  const addresses = new Set<string>();
  const reachingAddresses = new Set<string>();
  const add = (node: string, address: string): void => {
    addresses.add(address);
    if (!state.cutOff.has(node)) {
      reachingAddresses.add(address);
    }
  };
  if (state.ready) {
    add(state.node, state.ownAddress);
  }
  for (const entry of state.nodes) {
    const alive = state.connected.has(entry.node) || !state.linksSettled;
    if (entry.node !== state.node && !entry.leaving && alive) {
      add(entry.node, entry.callerAddress);
    }
  }
  return [...(reachingAddresses.size > 0 ? reachingAddresses : addresses)];
};

/** HTTP server that returns the addresses to which callers can connect. */
export const createDirectoryServer = (
  log: Log,
  addresses: () => readonly string[],
  encode: (addresses: readonly string[]) => Buffer,
): Server =>
  createServer((request, response) => {
    const available = addresses();
    if (available.length === 0) {
      log.decision('directory has no usable node', { url: request.url });
      response.writeHead(503, { 'content-length': 0 }).end();
      return;
    }
    const body = encode(available);
    response
      .writeHead(200, { 'content-type': 'application/json', 'content-length': body.length })
      .end(body);
  });
