import type { Random } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { MemoryCurve } from '@zinniagrade/length-estimates';
import { peakOfSum } from '@zinniagrade/length-estimates';
import type {
  HeldLimit,
  Milliseconds,
  Move,
  NodeView,
  Service,
  Upstream,
  UpstreamId,
  VersionId,
} from '@zinniagrade/types';
import { Left, Right, type Either } from 'purify-ts';
import type { RoutingTable } from './routing-table.js';

/** Work of this node in flight on an upstream. */
export interface OwnUsage {
  readonly requests: number;
  /** Expected memory of all these requests together. */
  readonly memory: MemoryCurve;
}

/** The properties of a request that determine its upstream. */
export interface RoutingRequest {
  readonly service: Service;
  /** Expected memory of the request; absent for a call of a plain service. */
  readonly memory?: MemoryCurve;
  /** Prompt tokens that an upstream need not process, for each leading block that it has cached. */
  readonly tokensPerBlock: number;
  /** Number of leading prompt blocks cached, by upstream. */
  readonly cachedBlocks: ReadonlyMap<UpstreamId, number>;
  /** Upstreams that have already refused or lost this request. */
  readonly excluded: ReadonlySet<UpstreamId>;
  /** Whether the request was sampled for the new version of a running move. */
  readonly isSampledForNewVersion?: boolean;
}

/** `now` is a time of the node's monotonic clock, `wallNow` of its wall clock. */
export interface RoutingContext {
  readonly table: RoutingTable;
  readonly view: NodeView;
  readonly ownUsage: (upstream: UpstreamId) => OwnUsage;
  readonly now: Milliseconds;
  readonly wallNow: Milliseconds;
  readonly random: Random;
}

export interface UpstreamChoice {
  readonly upstream: Upstream;
  readonly version: VersionId;
  /** The preferred version, if it had no room; its upstreams need larger limits. */
  readonly fullVersion?: VersionId;
}

/** Upstreams with room that are compared for one request. The search starts at a random upstream. */
const maxComparedUpstreams = 64;
/**
 * Penalty of another data centre and greatest bonus for cached prefixes, as parts of an upstream's
 * capacity.
 */
const otherDataCentrePenalty = 0.03;
const maxPrefixBonus = 0.15;
/** Prompt tokens whose prefill counts as the whole capacity of an upstream. */
const prefillTokensPerUpstream = 4096;

type MoveContext = Pick<RoutingContext, 'view' | 'now' | 'wallNow'>;

const runningMove = ({ view, wallNow }: MoveContext, service: Service): Move | undefined => {
  for (const move of Object.values(view.configuration.moves)) {
    if (
      move.service === service.id &&
      move.state === 'planned' &&
      wallNow >= move.startAt &&
      wallNow < move.deadlineAt
    ) {
      return move;
    }
  }
  return undefined;
};

/**
 * Share of a service's requests that may go to the new version at present; 0 without a move or a
 * granted share.
 */
export const newVersionShare = (context: MoveContext, service: Service): number => {
  const move = runningMove(context, service);
  const heldShare = move === undefined ? undefined : context.view.moveShares.get(move.id);
  return heldShare !== undefined && context.now < heldShare.lapsesAt ? heldShare.share : 0;
};

/**
 * The versions to try, in order. A request sampled for the new version may fall back to the old
 * one. Any other request never goes to the new version, which would exceed its share.
 */
export const versionsToTry = (
  context: MoveContext,
  service: Service,
  isSampledForNewVersion: boolean,
): readonly VersionId[] => {
  const move = runningMove(context, service);
  return move !== undefined && isSampledForNewVersion && newVersionShare(context, service) > 0
    ? [move.toVersion, service.version]
    : [service.version];
};

/** Whether an upstream may get new work, regardless of its limit. */
export const isUsable = (view: NodeView, upstream: Upstream): boolean =>
  upstream.state === 'in-service' &&
  !view.leavingUpstreams.has(upstream.id) &&
  !view.withdrawnDataCentres.has(upstream.dataCentre) &&
  view.configuration.dataCentres[upstream.dataCentre]?.state !== 'withdrawn';

/** Expected peak memory including the request; 0 for a call of a plain service. */
const peakMemoryWith = (usage: OwnUsage, request: RoutingRequest): number =>
  request.memory === undefined ? 0 : peakOfSum(usage.memory, request.memory);

/**
 * Part of the upstream's capacity that would stay free, plus the prefix bonus and minus the data
 * centre penalty; `undefined` if the request does not fit under the limit.
 */
const scoreUpstream = (
  context: RoutingContext,
  upstream: Upstream,
  limit: HeldLimit,
  request: RoutingRequest,
): number | undefined => {
  const usage = context.ownUsage(upstream.id);
  const memoryTokens = peakMemoryWith(usage, request);
  if (usage.requests + 1 > limit.slots || memoryTokens > limit.memoryTokens) {
    return undefined;
  }
  const { capacity } = upstream;
  // If the work of the other nodes is unknown, the room under the limit indicates the load of the
  // upstream.
  const { others } = limit;
  const slotsLeft =
    others === undefined
      ? limit.slots - usage.requests - 1
      : capacity.slots - others.requests - usage.requests - 1;
  const memoryLeft =
    others === undefined
      ? limit.memoryTokens - memoryTokens
      : capacity.memoryTokens - others.memoryTokens - memoryTokens;
  const freeSlots = slotsLeft / capacity.slots;
  const freeMemory =
    request.memory === undefined ? freeSlots : memoryLeft / Math.max(1, capacity.memoryTokens);
  const savedTokens = (request.cachedBlocks.get(upstream.id) ?? 0) * request.tokensPerBlock;
  const bonus = Math.min(maxPrefixBonus, savedTokens / prefillTokensPerUpstream);
  const penalty = upstream.dataCentre === context.table.dataCentre ? 0 : otherDataCentrePenalty;
  return Math.min(freeSlots, freeMemory) + bonus - penalty;
};

interface ScoredChoice {
  readonly choice: UpstreamChoice;
  readonly score: number;
}

const findBest = (
  context: RoutingContext,
  version: VersionId,
  upstreams: readonly Upstream[],
  request: RoutingRequest,
): ScoredChoice | 'full' | 'none' => {
  let result: ScoredChoice | 'full' | 'none' = 'none';
  const start = Math.floor(context.random() * upstreams.length);
  let compared = 0;
  for (let offset = 0; offset < upstreams.length && compared < maxComparedUpstreams; offset += 1) {
    const upstream = upstreams[(start + offset) % upstreams.length];
    if (
      upstream === undefined ||
      request.excluded.has(upstream.id) ||
      !isUsable(context.view, upstream)
    ) {
      continue;
    }
    result = result === 'none' ? 'full' : result;
    const limit = context.view.limits.get(upstream.id);
    if (limit === undefined || context.now >= limit.lapsesAt) {
      continue;
    }
    const score = scoreUpstream(context, upstream, limit, request);
    if (score === undefined) {
      continue;
    }
    compared += 1;
    if (typeof result === 'string' || score > result.score) {
      result = { choice: { upstream, version }, score };
    }
  }
  return result;
};

/**
 * Chooses the upstream with the most free capacity among those with room under the limits that the
 * node holds. Errors: `no-upstream` if no upstream serves the request at present, `overloaded` if
 * none of those that do has room; the request then waits.
 */
export const chooseUpstream = (
  context: RoutingContext,
  request: RoutingRequest,
): Either<Failure, UpstreamChoice> => {
  const versions = context.table.candidates.get(request.service.id);
  let fullVersion: VersionId | undefined;
  for (const version of versionsToTry(
    context,
    request.service,
    request.isSampledForNewVersion === true,
  )) {
    const found = findBest(context, version, versions?.get(version) ?? [], request);
    if (typeof found !== 'string') {
      return Right(fullVersion === undefined ? found.choice : { ...found.choice, fullVersion });
    }
    fullVersion = found === 'full' ? version : fullVersion;
  }
  return Left(
    fullVersion !== undefined
      ? Failure.create('overloaded', `every upstream of ${request.service.id} is at its limit`)
      : Failure.create('no-upstream', `no upstream serves ${request.service.id} now`),
  );
};
