import type { NodeControl } from '@zinniagrade/control';
import type { Configuration, HeldLimit, NodeView, UpstreamId } from '@zinniagrade/types';
import { emptyConfiguration } from '@zinniagrade/types';

/** Limits that never expire and grant each upstream's full configured capacity. */
const fullCapacityLimits = ({ upstreams }: Configuration): ReadonlyMap<UpstreamId, HeldLimit> =>
  new Map(
    Object.values(upstreams).map(({ id, capacity }) => [
      id,
      { ...capacity, warm: true, lapsesAt: Number.POSITIVE_INFINITY },
    ]),
  );

/** A control plane with a fixed view, for tests and measurements of the data path alone. */
export const createStaticControl = (
  view: Partial<NodeView>,
  overrides: Partial<NodeControl> = {},
): NodeControl => {
  const configuration = view.configuration ?? emptyConfiguration;
  const nodeView: NodeView = {
    configuration,
    members: [],
    withdrawnDataCentres: new Set(),
    leavingUpstreams: new Set(),
    limits: fullCapacityLimits(configuration),
    loadReports: new Map(),
    moveShares: new Map(),
    ...view,
  };
  return {
    view: () => nodeView,
    processIncarnation: 1,
    forwardCall: () => Promise.resolve(undefined),
    reportLeavingUpstream: () => undefined,
    announceLeaving: () => undefined,
    close: () => Promise.resolve(),
    ...overrides,
  };
};
