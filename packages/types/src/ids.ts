/** Identifier of an entry node; stable across restarts if the settings fix it. */
export type NodeId = string;
/**
 * Incarnation number of a node: the process's start time in milliseconds since the epoch. The node
 * raises it to refute a report that it is suspect or gone.
 */
export type Incarnation = number;
export type DataCentreId = string;
export type RegionId = string;
export type ServiceId = string;
export type UpstreamId = string;
export type VersionId = string;
export type MoveId = string;
export type ClientAccountId = string;
export type GenerationId = string;
export type ModelId = string;
/** Position in the total order of configuration changes; 0 is the empty configuration. */
export type Revision = number;
/**
 * Chosen by the operator's client for one write. If the reply is lost, the client reads back
 * whether the write with this id took effect.
 */
export type OperationId = string;
/** A duration, or a time on the clock that is named where the type is used. */
export type Milliseconds = number;
