import type { StoredHolder, UsageReport } from '@zinniagrade/duties';
import type { ReadCallerRequest } from './caller-request.js';
import type { ClusterChange, NodeEntry, RolloutStatus } from './cluster-state.js';
import type { DutyClient } from './duty-holder.js';
import type { MetadataStore } from './metadata-store.js';
import type { NodeClient } from './node-client.js';
import type { GatewaySettings } from './settings.js';
import type { UpstreamClient } from './upstream-client.js';

/** Calls of duties, and the store keys and values of what one node does for all. */
export interface DutyPlatform {
  readonly client: DutyClient;
  /** Opens the connection for calls ahead. */
  readonly connect: () => void;
  /** Store key of the holder of a subject. */
  readonly holderKey: (subject: string) => string;
  readonly encodeHolder: (holder: StoredHolder) => Buffer;
  /** Store key of the last recorded report of usage. */
  readonly usageReportKey: string;
  readonly encodeUsageReport: (report: UsageReport) => Buffer;
}

/** Settings, clients and encodings that a platform provides to the gateway. */
export interface Platform {
  readonly settings: GatewaySettings;
  readonly store: MetadataStore;
  readonly upstreams: UpstreamClient;
  /** For requests that another node serves, at its address for callers. */
  readonly nodes: NodeClient;
  readonly readCallerRequest: ReadCallerRequest;
  /** Decodes the value of a store key; an undefined value means that the key was removed. */
  readonly decodeChange: (key: string, value: Buffer | undefined) => ClusterChange;
  /** Prefix of all store keys that a node mirrors. */
  readonly prefix: string;
  /** Store key of the secret with which nodes authenticate each other. */
  readonly linkSecretKey: string;
  /**
   * Whether the entry of this key is registered again after a store outage, so its removal is
   * delayed.
   */
  readonly delaysRemovalAfterOutage: (key: string) => boolean;
  readonly nodeKey: (node: string) => string;
  readonly encodeNode: (entry: NodeEntry) => Buffer;
  /** Store key for the entry of a part of prompts, or a request, that is in quarantine. */
  readonly quarantineEntryKey: (key: string) => string;
  readonly rolloutStatusKey: (service: string) => string;
  readonly encodeRolloutStatus: (status: RolloutStatus) => Buffer;
  /** Undefined if the settings name no address for the calls of duties. */
  readonly duties?: DutyPlatform;
  /** Encodes the addresses of nodes, and how long callers may cache them. */
  readonly encodeDirectory: (addresses: readonly string[], lifeMs: number) => Buffer;
}
