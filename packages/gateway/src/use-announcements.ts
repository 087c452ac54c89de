import type { Clock } from '@zinniagrade/clock';
import { ownUse, type Fleet, type UpstreamUse } from '@zinniagrade/serving';

/** Tells the other nodes what this node has at upstreams, soon after each change. */
export interface UseAnnouncements {
  readonly changed: () => void;
  readonly stop: () => void;
}

/** Changes within this time go out together. */
const gatherMs = 4;
/** Also shows the other nodes that this one lives. */
const heartbeatMs = 500;

const usesOf = (fleet: Fleet): readonly UpstreamUse[] => {
  const uses: UpstreamUse[] = [];
  for (const member of fleet.members.values()) {
    if (member.ownRuns.size > 0) {
      uses.push(ownUse(member));
    }
  }
  return uses;
};

export const UseAnnouncements = {
  create: (
    clock: Clock,
    fleet: Fleet,
    announce: (uses: readonly UpstreamUse[]) => void,
  ): UseAnnouncements => {
    let scheduled = false;
    const now = (): void => {
      scheduled = false;
      announce(usesOf(fleet));
    };
    const cancel = clock.every(heartbeatMs, now);
    return {
      changed: () => {
        if (!scheduled) {
          scheduled = true;
          clock.after(gatherMs, now);
        }
      },
      stop: cancel,
    };
  },
};
