import {
  Fleet,
  RouteTable,
  type Configuration,
  type Rollout,
  type RolloutState,
  type Upstream,
} from '@zinniagrade/serving';
import type { StoredHolder, UsageReport } from '@zinniagrade/duties';
import type { Log } from './log.js';

/** Registration of a node. */
export interface NodeEntry {
  readonly node: string;
  readonly dataCentre: string;
  /** Address for callers, as IP:PORT. */
  readonly callerAddress: string;
  /** Address for other nodes, as IP:PORT. */
  readonly nodeAddress?: string;
  /** Processor cores that the node may use. */
  readonly capacity: number;
  readonly leaving: boolean;
}

export interface RolloutStatus {
  readonly service: string;
  readonly target: string;
  readonly state: RolloutState;
}

/** A rollout status as stored. */
export interface StoredRolloutStatus {
  readonly status: RolloutStatus;
  readonly revision: number;
}

/** Holder of a duty's subject, undefined since a removal, as stored. */
export interface StoredDutyHolder {
  readonly holder: StoredHolder | undefined;
  readonly revision: number;
}

/** A report of usage as stored. */
export interface StoredUsageReport {
  readonly report: UsageReport | undefined;
  readonly revision: number;
}

/** A decoded change of one store key. Entries that can't be decoded are `unreadable`. */
export type ClusterChange =
  | { readonly kind: 'configuration'; readonly configuration: Configuration }
  | {
      readonly kind: 'upstream';
      readonly id: string;
      readonly upstream: Upstream | undefined;
      /** Whether there is an entry that names no upstream which could be used. */
      readonly isUnreadable?: boolean;
    }
  | { readonly kind: 'withdrawal'; readonly dataCentre: string; readonly withdrawn: boolean }
  | { readonly kind: 'rollout'; readonly service: string; readonly rollout: Rollout | undefined }
  | { readonly kind: 'node'; readonly node: string; readonly entry: NodeEntry | undefined }
  | {
      readonly kind: 'rollout-status';
      readonly service: string;
      readonly status: RolloutStatus | undefined;
    }
  | {
      readonly kind: 'quarantine';
      /** Part of prompts, or a request. */
      readonly key: string;
      readonly isQuarantined: boolean;
    }
  | {
      readonly kind: 'duty-holder';
      readonly subject: string;
      readonly holder: StoredHolder | undefined;
    }
  | { readonly kind: 'usage-report'; readonly report: UsageReport | undefined }
  | { readonly kind: 'link-secret'; readonly secret: string }
  | { readonly kind: 'unreadable'; readonly reason: string }
  | { readonly kind: 'other' };

/**
 * State of the cluster as read from the store: configuration, upstreams, nodes, withdrawals and
 * rollouts.
 */
export interface ClusterState {
  readonly fleet: Fleet;
  readonly nodes: ReadonlyMap<string, NodeEntry>;
  readonly withdrawn: ReadonlySet<string>;
  readonly rollouts: ReadonlyMap<string, Rollout>;
  readonly rolloutStatuses: ReadonlyMap<string, StoredRolloutStatus>;
  readonly dutyHolders: ReadonlyMap<string, StoredDutyHolder>;
  /** The last recorded report of usage. */
  readonly usageReport: () => StoredUsageReport | undefined;
  readonly configuration: () => Configuration | undefined;
  readonly routes: () => RouteTable | undefined;
  /** Secret with which nodes authenticate each other. */
  readonly linkSecret: () => string | undefined;
  readonly apply: (change: ClusterChange, revision: number, nowMs: number) => void;
  /**
   * Registers a listener that is called after each change, except for unreadable and unknown
   * entries.
   */
  readonly onChange: (listener: (change: ClusterChange) => void) => void;
}

/** Ids come from other writers. */
const maxLoggedIdLength = 100;

export const ClusterState = {
  create: (log: Log): ClusterState => {
    const fleet = Fleet.create();
    const nodes = new Map<string, NodeEntry>();
    const withdrawn = new Set<string>();
    const rollouts = new Map<string, Rollout>();
    const rolloutStatuses = new Map<string, StoredRolloutStatus>();
    const dutyHolders = new Map<string, StoredDutyHolder>();
    let usageReport: StoredUsageReport | undefined;
    const listeners: ((change: ClusterChange) => void)[] = [];
    let configuration: Configuration | undefined;
    let routes: RouteTable | undefined;
    let linkSecret: string | undefined;

    const setOrDelete = <Value>(
      map: Map<string, Value>,
      key: string,
      value: Value | undefined,
    ): void => {
      if (value === undefined) {
        map.delete(key);
      } else {
        map.set(key, value);
      }
    };

    /** Returns whether the configuration is in force now. */
    const applyConfiguration = (next: Configuration, revision: number): boolean => {
      if (configuration !== undefined && next.version < configuration.version) {
        log.event('configuration ignored', { version: next.version, revision, reason: 'older' });
        return false;
      }
      configuration = next;
      routes = RouteTable.create(next);
      log.event('configuration applied', {
        version: next.version,
        revision,
        routes: next.routes.length,
      });
      return true;
    };

    const applyUpstream = (
      id: string,
      upstream: Upstream | undefined,
      revision: number,
      nowMs: number,
    ): void => {
      const before = fleet.members.get(id)?.upstream.state;
      if (upstream === undefined) {
        fleet.remove(id, nowMs);
      } else {
        fleet.register(upstream, nowMs);
      }
      const state = upstream?.state ?? 'gone';
      if (before !== state) {
        log.event('upstream state changed', {
          upstream: id,
          service: upstream?.service,
          state,
          before,
          revision,
        });
      }
    };

    const apply = (change: ClusterChange, revision: number, nowMs: number): void => {
      switch (change.kind) {
        case 'configuration':
          if (!applyConfiguration(change.configuration, revision)) {
            return;
          }
          break;
        case 'upstream':
          if (change.isUnreadable === true) {
            const reason = `registration of upstream ${change.id.slice(0, maxLoggedIdLength)} is invalid`;
            log.event('store entry unreadable', { reason, revision });
          }
          applyUpstream(change.id, change.upstream, revision, nowMs);
          break;
        case 'withdrawal':
          if (change.withdrawn) {
            withdrawn.add(change.dataCentre);
          } else {
            withdrawn.delete(change.dataCentre);
          }
          log.event('data centre withdrawal changed', {
            dataCentre: change.dataCentre,
            withdrawn: change.withdrawn,
            revision,
          });
          break;
        case 'rollout':
          setOrDelete(rollouts, change.service, change.rollout);
          log.event('rollout order changed', {
            service: change.service,
            target: change.rollout?.target,
            revision,
          });
          break;
        case 'rollout-status':
          setOrDelete(
            rolloutStatuses,
            change.service,
            change.status === undefined ? undefined : { status: change.status, revision },
          );
          log.event('rollout state changed', {
            service: change.service,
            target: change.status?.target,
            state: change.status?.state,
            revision,
          });
          break;
        case 'node':
          setOrDelete(nodes, change.node, change.entry);
          log.event('node registration changed', {
            of: change.node,
            state:
              change.entry === undefined ? 'gone' : change.entry.leaving ? 'leaving' : 'serving',
            revision,
          });
          break;
        case 'link-secret':
          linkSecret = change.secret;
          break;
        case 'duty-holder': {
          const { subject, holder } = change;
          dutyHolders.set(subject, { holder, revision });
          log.event('duty holder changed', { subject, holder: holder?.node, revision });
          break;
        }
        case 'usage-report':
          usageReport = { report: change.report, revision };
          break;
        case 'quarantine':
          break;
        case 'unreadable':
          log.event('store entry unreadable', { reason: change.reason, revision });
          return;
        case 'other':
          return;
      }
      for (const listener of listeners) {
        listener(change);
      }
    };

    return {
      fleet,
      nodes,
      withdrawn,
      rollouts,
      rolloutStatuses,
      dutyHolders,
      usageReport: () => usageReport,
      configuration: () => configuration,
      routes: () => routes,
      linkSecret: () => linkSecret,
      apply,
      onChange: (listener) => {
        listeners.push(listener);
      },
    };
  },
};
