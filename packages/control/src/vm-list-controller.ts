import type { NodeLink } from '@zinniagrade/node-link';
import type { Clock } from '@zinniagrade/clock';
import type { VmList } from '@zinniagrade/platform';
import type {
  Configuration,
  Milliseconds,
  NodeId,
  NodeMessage,
  UpstreamId,
  VmNotice,
} from '@zinniagrade/types';
import {
  type VmNotices,
  leavingUpstreams,
  mergeNotices,
  noticesFromVmList,
  refusalHostName,
} from './vm-notices.js';

/**
 * Keeps track of leaving VMs and upstreams on one node, and shares notices of them with the other
 * nodes.
 */
export interface VmListController {
  /** Upstreams that are leaving. Recomputed only if the configuration or the notices have changed. */
  readonly leavingUpstreams: (configuration: Configuration) => ReadonlySet<UpstreamId>;
  /** Reads the VM list and floods notices of what has changed. */
  readonly readList: () => Promise<void>;
  /** Handles a refusal of work by an upstream because it is leaving: no node uses it for a minute. */
  readonly onLeavingRefusal: (upstream: UpstreamId) => void;
  readonly onNotices: (notices: readonly VmNotice[], from?: NodeId) => void;
  readonly onLinkUp: (node: NodeId) => void;
}

/** Time after which an upstream that refused work is used again, in case it is not leaving after all. */
const refusalLifetimeMs: Milliseconds = 60_000;

export const VmListController = {
  create: (
    vms: VmList,
    clock: Clock,
    link: NodeLink,
    flood: (message: NodeMessage, except?: NodeId) => void,
    onChange: () => void,
  ): VmListController => {
    let knownNotices: VmNotices = new Map();
    const onNotices = (incoming: readonly VmNotice[], from?: NodeId): void => {
      const { notices, newNotices } = mergeNotices(knownNotices, incoming, clock.wallMs());
      if (newNotices.length > 0) {
        knownNotices = notices;
        onChange();
        flood({ kind: 'vm-notices', notices: newNotices }, from);
      }
    };
    let computedFor: { configuration: Configuration; notices: VmNotices } | undefined;
    let leaving: ReadonlySet<UpstreamId> = new Set();
    return {
      leavingUpstreams: (configuration) => {
        if (computedFor?.configuration !== configuration || computedFor.notices !== knownNotices) {
          computedFor = { configuration, notices: knownNotices };
          leaving = leavingUpstreams(configuration, knownNotices);
        }
        return leaving;
      },
      readList: async () => {
        (await vms.list()).ifRight((listed) => {
          onNotices(noticesFromVmList(listed, clock.wallMs()));
        });
      },
      onLeavingRefusal: (upstream) => {
        const host = refusalHostName(upstream);
        if (knownNotices.get(host)?.state === 'leaving') {
          return;
        }
        onNotices([{ host, state: 'leaving', at: clock.wallMs() }]);
        clock.after(refusalLifetimeMs, () => {
          onNotices([{ host, state: 'live', at: clock.wallMs() }]);
        });
      },
      onNotices,
      onLinkUp: (node) => {
        if (knownNotices.size > 0) {
          link.send(node, { kind: 'vm-notices', notices: [...knownNotices.values()] });
        }
      },
    };
  },
};
