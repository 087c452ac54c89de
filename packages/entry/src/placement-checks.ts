import type { MemoryCurve } from '@zinniagrade/length-estimates';
import { peakOfSum } from '@zinniagrade/length-estimates';
import type { Milliseconds, NodeView, Service, Upstream, VersionId } from '@zinniagrade/types';
import type { WorkMeter } from './work-meter.js';

/** What a request requires of an upstream. */
export interface Requirements {
  readonly service: Service;
  /** Expected memory curve; all zero for a call of a plain service. */
  readonly memory: MemoryCurve;
}

/** Whether the upstream serves this version of the service, is not leaving and is not withdrawn. */
export const canServe = (
  view: NodeView,
  upstream: Upstream,
  service: Service,
  version: VersionId,
): boolean =>
  upstream.version === version &&
  upstream.services.includes(service.id) &&
  upstream.state === 'in-service' &&
  !view.leavingUpstreams.has(upstream.id) &&
  !view.withdrawnDataCentres.has(upstream.dataCentre);

/** Whether the request fits in the limit that this node currently holds for the upstream. */
export const fitsLimit = (
  view: NodeView,
  upstream: Upstream,
  requirements: Requirements,
  meter: Pick<WorkMeter, 'requests' | 'memory'>,
  nowMs: Milliseconds,
): boolean => {
  const limit = view.limits.get(upstream.id);
  return (
    limit !== undefined &&
    limit.lapsesAt > nowMs &&
    meter.requests(upstream.id) < limit.slots &&
    (upstream.kind === 'plain' ||
      peakOfSum(meter.memory(upstream.id, nowMs), requirements.memory) <= limit.memoryTokens)
  );
};
