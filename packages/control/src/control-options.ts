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
  /** Link addresses of a few other nodes, to join; the VM list adds candidates. */
  readonly seeds: readonly LinkAddress[];
  /** Members known at the start; a measurement of a large fleet begins after all have joined. */
  readonly knownMembers?: readonly Member[];
  /** Time that callers keep an address answer. */
  readonly holdMs: Milliseconds;
}

/** Notes an event on the time line. */
export type RecordEvent = (name: TimelineEvent['name'], fields: TimelineEvent['fields']) => void;

/** The parts that control runs on; tests give fakes. */
export interface ControlParts {
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly counters: Counters;
  readonly event: RecordEvent;
  readonly store: Store;
  readonly vms: VmList;
  readonly openLink: NodeLinkOpener;
  readonly dataPath: DataPathReports;
  /** Reads the load of an upstream that this node owns. */
  readonly readLoad: (upstream: Upstream) => Promise<Either<Failure, LoadReport>>;
}
