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

/** Work that this node has in flight on an upstream. */
export interface OwnUsage {
  readonly requests: number;
  /** Expected memory of these requests together. */
  readonly memory: MemoryCurve;
}

/** What routing needs to know of one request. */
export interface RoutingRequest {
  readonly service: Service;
  /** Expected memory of the request; absent for a call of a plain service. */
  readonly memory?: MemoryCurve;
  /** Prompt tokens that an upstream saves for each leading block that it holds. */
  readonly tokensPerBlock: number;
  /** Leading blocks held, by upstream. */
  readonly cachedBlocks: ReadonlyMap<UpstreamId, number>;
  /** Upstreams that have refused or lost this request before. */
  readonly excluded: ReadonlySet<UpstreamId>;
  /** Whether the request was drawn for the new version of a running move. */
  readonly isSampledForNewVersion?: boolean;
}

/** Times: `now` is the node's monotonic clock, `wallNow` its wall clock. */
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
  /** The version that was meant for the request and had no room; its upstreams need larger limits. */
  readonly fullVersion?: VersionId;
}

/** Upstreams compared for one request; above this a random run of them is looked at. */
const maxComparedUpstreams = 64;
/** Cost of another data centre, and the most that held prefixes can gain, as a share of an upstream. */
const otherDataCentrePenalty = 0.03;
const maxPrefixBonus = 0.15;
/** Prompt tokens that count as a whole upstream's worth of prefill. */
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

/** Share of a service's requests that may go to the new version now; 0 without a move or a grant. */
export const newVersionShare = (context: MoveContext, service: Service): number => {
  const move = runningMove(context, service);
  const heldShare = move === undefined ? undefined : context.view.moveShares.get(move.id);
  return heldShare !== undefined && context.now < heldShare.lapsesAt ? heldShare.share : 0;
};

/**
 * The versions to try in order. A request drawn for the new version may fall back to the old one; one
 * that was not drawn never goes to the new one, which would exceed its share.
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

/** Whether an upstream may get new work at all, apart from its limit. */
export const isUsable = (view: NodeView, upstream: Upstream): boolean =>
  upstream.state === 'in-service' &&
  !view.leavingUpstreams.has(upstream.id) &&
  !view.withdrawnDataCentres.has(upstream.dataCentre) &&
  view.configuration.dataCentres[upstream.dataCentre]?.state !== 'withdrawn';

/** Expected memory at the peak with the request; 0 for a call of a plain service. */
const peakMemoryWith = (use: OwnUsage, request: RoutingRequest): number =>
  request.memory === undefined ? 0 : peakOfSum(use.memory, request.memory);

/**
 * Part of the upstream's capacity that stays free for this node, with the bonus and the penalty;
 * `undefined` when the request does not fit under the limit.
 */
const scoreUpstream = (
  context: RoutingContext,
  upstream: Upstream,
  limit: HeldLimit,
  request: RoutingRequest,
): number | undefined => {
  const use = context.ownUsage(upstream.id);
  const memoryTokens = peakMemoryWith(use, request);
  if (use.requests + 1 > limit.slots || memoryTokens > limit.memoryTokens) {
    return undefined;
  }
  const { capacity } = upstream;
  // Without the work of the other nodes, the room under the limit shows how crowded the upstream is.
  const { others } = limit;
  const slotsLeft =
    others === undefined
      ? limit.slots - use.requests - 1
      : capacity.slots - others.requests - use.requests - 1;
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
 * Chooses the upstream for a request, by the room under the node's held limits. Errors: `no-upstream` when
 * none serves the request at present, `overloaded` when some do but none has room; the request then waits.
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
