import type { Random } from '@zinniagrade/clock';
import {
  PrefixIndex,
  RoutingTable,
  chooseUpstream,
  versionsToTry,
  prefixBlockChars,
  promptPrefixes,
} from '@zinniagrade/routing';
import type {
  DataCentreId,
  Milliseconds,
  NodeId,
  NodeView,
  Upstream,
  UpstreamId,
  VersionId,
} from '@zinniagrade/types';
import { estimatePromptTokens } from './memory-model.js';
import { fitsLimit, canServe } from './placement-checks.js';
import type { PlacementRequest } from './placement.js';
import type { WorkMeter } from './work-meter.js';

/** Inputs of a choice, apart from the request. */
export interface ChoiceContext {
  readonly view: NodeView;
  readonly meter: Pick<WorkMeter, 'requests' | 'memory'>;
  readonly nowMs: Milliseconds;
  readonly wallMs: Milliseconds;
  readonly random: Random;
}

export interface UpstreamChoice {
  readonly upstream: Upstream;
  readonly version: VersionId;
  /** Set if the version chosen for the request had no room, and another version is used. */
  readonly fullVersion?: VersionId;
}

/** Chooses an upstream for a request; `undefined` if none has room. */
export type UpstreamChooser = (
  context: ChoiceContext,
  request: PlacementRequest,
  excluded: ReadonlySet<UpstreamId>,
) => UpstreamChoice | undefined;

/** Chooses with the package `routing`: by free capacity, cached prompt prefixes and distance. */
export const createRoutingChooser = (nodeId: NodeId, dataCentre: DataCentreId): UpstreamChooser => {
  const prefixes = PrefixIndex.create();
  let table: RoutingTable | undefined;
  return (context, request, excluded) => {
    const { view, meter, nowMs, wallMs, random } = context;
    table =
      table === undefined
        ? RoutingTable.create(nodeId, dataCentre, view)
        : RoutingTable.update(table, view);
    const prefixBlocks = request.prompt === undefined ? [] : promptPrefixes(request.prompt);
    const choice = chooseUpstream(
      {
        table,
        view,
        ownUsage: (upstream) => ({
          requests: meter.requests(upstream),
          memory: meter.memory(upstream, nowMs),
        }),
        now: nowMs,
        wallNow: wallMs,
        random,
      },
      {
        service: request.service,
        ...(request.service.kind === 'generation' ? { memory: request.memory } : {}),
        tokensPerBlock: estimatePromptTokens(' '.repeat(prefixBlockChars)),
        cachedBlocks: prefixes.countCachedBlocks(prefixBlocks),
        excluded,
        isSampledForNewVersion: request.drawnForNew,
      },
    );
    return choice
      .ifRight(({ upstream }) => {
        prefixes.recordDispatch(upstream.id, prefixBlocks);
      })
      .toMaybe()
      .extract();
  };
};

/**
 * Chooses the upstream with the fewest requests of this node relative to the limit that it holds
 * there.
 */
export const chooseLeastLoaded: UpstreamChooser = (context, request, excluded) => {
  const { view, meter, nowMs, wallMs } = context;
  const moveContext = { view, now: nowMs, wallNow: wallMs };
  for (const version of versionsToTry(moveContext, request.service, request.drawnForNew)) {
    let best: { readonly upstream: Upstream; readonly load: number } | undefined;
    for (const [id, limit] of view.limits) {
      const upstream = view.configuration.upstreams[id];
      const load = meter.requests(id) / limit.slots;
      if (
        upstream !== undefined &&
        !excluded.has(id) &&
        (best === undefined || load < best.load) &&
        canServe(view, upstream, request.service, version) &&
        fitsLimit(view, upstream, request, meter, nowMs)
      ) {
        best = { upstream, load };
      }
    }
    if (best !== undefined) {
      return { upstream: best.upstream, version };
    }
  }
  return undefined;
};
