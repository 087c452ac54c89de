import type { Clock, Random } from '@zinniagrade/clock';
import type { Failure } from '@zinniagrade/errors';
import type { Counters, Logger } from '@zinniagrade/logger';
import type { LinkAddress, NodeLinkOpener } from '@zinniagrade/node-link';
import type { Store, VmList } from '@zinniagrade/platform';
import type {
  DataCentreId,
  LoadReport,
  Member,
  Milliseconds,
  NodeId,
  RegionId,
  TimelineEvent,
  Upstream,
} from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import type { DataPathReports } from './node-control.js';

export interface ControlSettings {
  readonly nodeId: NodeId;
  /** Address at which callers and other nodes reach this node. */
  readonly host: string;
  readonly callerPort: number;
  readonly dataCentre: DataCentreId;
  readonly region: RegionId;
  /** Link addresses of some other nodes through which to join. The VM list adds further candidates. */
  readonly seeds: readonly LinkAddress[];
  /**
   * Members known at the start, so that a measurement of a large fleet can begin with all nodes
   * joined.
   */
  readonly knownMembers?: readonly Member[];
  /** Time for which callers may use the addresses that a node has returned. */
  readonly holdMs: Milliseconds;
}

/** Records an event on the timeline. */
export type EventRecorder = (name: TimelineEvent['name'], fields: TimelineEvent['fields']) => void;

/** What the control plane of a node needs; tests pass fakes. */
export interface ControlDependencies {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly counters: Counters;
  readonly event: EventRecorder;
  readonly store: Store;
  readonly vms: VmList;
  readonly openLink: NodeLinkOpener;
  readonly dataPath: DataPathReports;
  /** Reads the load of an upstream that this node owns. */
  readonly readLoad: (upstream: Upstream) => Promise<Either<Failure, LoadReport>>;
}
