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

/** What one node knows from the VM list. */
export interface VmListController {
  /** Looks at all upstreams, but only after a change. */
  readonly leavingUpstreams: (configuration: Configuration) => ReadonlySet<UpstreamId>;
  /** Reads the list and tells the others what is new. */
  readonly readList: () => Promise<void>;
  /** An upstream has refused work because it leaves; no node uses it for a minute. */
  readonly onLeavingRefusal: (upstream: UpstreamId) => void;
  readonly onNotices: (notices: readonly VmNotice[], from?: NodeId) => void;
  readonly onLinkUp: (node: NodeId) => void;
}

/** An upstream that stays after all gets work again after this time. */
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
