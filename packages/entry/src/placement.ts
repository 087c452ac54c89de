import type { Clock, Random } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { MemoryCurve } from '@zinniagrade/length-estimates';
import { peakOf } from '@zinniagrade/length-estimates';
import type {
  ClientAccountId,
  Milliseconds,
  NodeView,
  Service,
  Upstream,
  UpstreamId,
  VersionId,
} from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import { AvoidedUpstreams, isLeavingRefusal } from './avoided-upstreams.js';
import type { UpstreamChooser } from './choose-upstream.js';
import { fitsLimit, canServe } from './placement-checks.js';
import type { Work, WorkMeter } from './work-meter.js';

/** A request that needs an upstream. */
export interface PlacementRequest {
  /** Unique at this node. */
  readonly id: string;
  readonly service: Service;
  readonly clientAccount: ClientAccountId;
  /** Name of the operation, or `generate` for a generation. */
  readonly route: string;
  readonly promptTokens: number;
  readonly maxTokens: number;
  /** Expected memory curve; all zero for a call of a plain service. */
  readonly memory: MemoryCurve;
  readonly prompt?: string | undefined;
  /** Monotonic time from which the deadline of the first answer counts. */
  readonly arrivedAt: Milliseconds;
  /** Whether the request was randomly selected for the new version of a running move. */
  readonly drawnForNew: boolean;
  /** True for a restart of the generation of an open stream, which a leaving node still accepts. */
  readonly forOpenStream?: boolean;
}

export interface Placement {
  readonly upstream: Upstream;
  readonly version: VersionId;
  readonly work: Work;
  /** Avoids the upstream for some time if the failure shows that it currently takes no work. */
  readonly reportFailure: (failure: Failure) => void;
}

/** Finds an upstream for a request and counts the request as in flight there. */
export type Placer = (
  request: PlacementRequest,
  excluded: ReadonlySet<UpstreamId>,
) => Either<Failure, Placement>;

const retryAfterMs: Milliseconds = 500;

/** Looks up the upstreams of a service, cached per configuration. */
const createServiceIndex = (): ((view: NodeView, service: Service) => readonly Upstream[]) => {
  let configuration: NodeView['configuration'] | undefined;
  let index = new Map<string, readonly Upstream[]>();
  return (view, service) => {
    if (view.configuration !== configuration) {
      configuration = view.configuration;
      index = new Map();
    }
    const serving =
      index.get(service.id) ??
      Object.values(view.configuration.upstreams).filter(({ services }) =>
        services.includes(service.id),
      );
    index.set(service.id, serving);
    return serving;
  };
};

export interface PlacementDependencies {
  readonly view: () => NodeView;
  readonly meter: WorkMeter;
  readonly clock: Clock;
  readonly random: Random;
  readonly chooseUpstream: UpstreamChooser;
  /**
   * Notifies the other nodes that an upstream is leaving, so that they don't have to learn it from
   * a refusal.
   */
  readonly reportLeaving: (upstream: UpstreamId) => void;
}

/**
 * Creates a placer that never exceeds a held limit and never uses a withdrawn or leaving upstream,
 * even if `chooseUpstream` returns one. Failures: `leaving`, `isolated`, `no-upstream`, and
 * `overloaded` if capacity may become free.
 */
export const createPlacer = (dependencies: PlacementDependencies): Placer => {
  const { view: currentView, meter, clock, random, chooseUpstream, reportLeaving } = dependencies;
  const upstreamsOf = createServiceIndex();
  const avoided = AvoidedUpstreams.create(clock);
  /**
   * Records at one candidate that the request needs capacity there; the control plane requests more
   * from the owner of that upstream. False if there is no candidate.
   */
  const recordUnmetDemand = (
    view: NodeView,
    request: PlacementRequest,
    candidates: readonly Upstream[],
  ): boolean => {
    const withHeldLimit = candidates.filter(({ id }) => view.limits.has(id));
    const preferred = withHeldLimit.length > 0 ? withHeldLimit : candidates;
    const chosen = preferred[Math.floor(random() * preferred.length)];
    if (chosen !== undefined) {
      meter.recordUnmetDemand(chosen.id, request.id, Math.ceil(peakOf(request.memory)));
    }
    return chosen !== undefined;
  };
  const refusalFor = (
    view: NodeView,
    request: PlacementRequest,
    excluded: ReadonlySet<UpstreamId>,
  ): Failure => {
    const candidates = upstreamsOf(view, request.service).filter(
      (upstream) =>
        !excluded.has(upstream.id) && canServe(view, upstream, request.service, upstream.version),
    );
    if (!recordUnmetDemand(view, request, candidates)) {
      return Failure.create('no-upstream', `no upstream serves ${request.service.id} now`, 1_000);
    }
    return Failure.create(
      'overloaded',
      `no upstream of service ${request.service.id} has room within the limits of this node`,
      retryAfterMs,
    );
  };
  return (request, excluded) => {
    const view = currentView();
    const refusal = view.refusesNewWork;
    if (refusal !== undefined && !(refusal === 'leaving' && request.forOpenStream === true)) {
      return Left(Failure.create(refusal, 'this node takes no new work; try another node'));
    }
    const nowMs = clock.monotonicMs();
    const choice = chooseUpstream(
      { view, meter, nowMs, wallMs: clock.wallMs(), random },
      request,
      avoided.withAvoided(excluded),
    );
    if (
      choice === undefined ||
      !canServe(view, choice.upstream, request.service, choice.version) ||
      !fitsLimit(view, choice.upstream, request, meter, nowMs)
    ) {
      return Left(refusalFor(view, request, excluded));
    }
    const { upstream, version, fullVersion } = choice;
    // Without this demand a new version would never get a limit: its requests fall back to the old
    // version.
    if (fullVersion !== undefined) {
      const candidates = upstreamsOf(view, request.service).filter(
        (candidate) =>
          !excluded.has(candidate.id) && canServe(view, candidate, request.service, fullVersion),
      );
      recordUnmetDemand(view, request, candidates);
    }
    const work = meter.start({ ...request, upstream: upstream.id, version, tokensSoFar: 0 }, nowMs);
    return Right({
      upstream,
      version,
      work,
      reportFailure: (failure) => {
        avoided.recordFailure(upstream.id, failure);
        if (isLeavingRefusal(failure)) {
          reportLeaving(upstream.id);
        }
      },
    });
  };
};
