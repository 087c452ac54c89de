import type { NodeEntry } from './cluster-state.js';

/** Which services this node reaches itself, and which other nodes reach the others. */
export interface ServiceReach {
  /** Whether this node reaches none of the service's upstreams, as new connections to them show. */
  readonly isCutOff: (service: string) => boolean;
  /** Whether this node reaches no upstream of any service. */
  readonly isCutOffFromAll: () => boolean;
  /** Other nodes that stay and reach the service, by their own latest word. */
  readonly nodesReaching: (service: string) => readonly NodeEntry[];
}
