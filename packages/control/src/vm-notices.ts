import type { Vm } from '@zinniagrade/platform';
import type { Configuration, Milliseconds, UpstreamId, VmNotice } from '@zinniagrade/types';

/** Latest notice of each host. Hosts that were never reported as leaving have none. */
export type VmNotices = ReadonlyMap<string, VmNotice>;

const noticeLifetimeMs: Milliseconds = 3_600_000;
const maxNotices = 4096;

/** Merges incoming notices. Returns the merged notices, and the incoming ones that changed them. */
export const mergeNotices = (
  known: VmNotices,
  incoming: readonly VmNotice[],
  wallNow: Milliseconds,
): { readonly notices: VmNotices; readonly newNotices: readonly VmNotice[] } => {
  const newNotices = incoming.filter(
    ({ host, state, at }) =>
      at > (known.get(host)?.at ?? 0) &&
      wallNow - at < noticeLifetimeMs &&
      state !== (known.get(host)?.state ?? 'live'),
  );
  if (newNotices.length === 0) {
    return { notices: known, newNotices };
  }
  const merged = new Map(known);
  for (const notice of newNotices) {
    merged.set(notice.host, notice);
  }
  for (const [host, { at }] of merged) {
    if (wallNow - at >= noticeLifetimeMs || merged.size > maxNotices) {
      merged.delete(host);
    }
  }
  return { notices: merged, newNotices };
};

/** Converts the VM list into notices with the time at which it was read. */
export const noticesFromVmList = (vms: readonly Vm[], wallNow: Milliseconds): readonly VmNotice[] =>
  vms.map(({ host, state }) => ({ host, state, at: wallNow }));

/**
 * Host name under which the refusal of an upstream is flooded. The VM list contains no such host,
 * so a stale list cannot revoke the refusal.
 */
export const refusalHostName = (upstream: UpstreamId): string => `upstream:${upstream}`;

/**
 * Upstreams that are leaving by the configuration, by their own refusal, or because their VM is
 * leaving. A VM that runs several processes may be listed once for each, as `host:port`.
 */
export const leavingUpstreams = (
  { upstreams }: Configuration,
  notices: VmNotices,
): ReadonlySet<UpstreamId> => {
  const isLeaving = (host: string): boolean => notices.get(host)?.state === 'leaving';
  const leaving = new Set<UpstreamId>();
  for (const { id, host, port, state } of Object.values(upstreams)) {
    if (
      state === 'leaving' ||
      isLeaving(host) ||
      isLeaving(`${host}:${port}`) ||
      isLeaving(refusalHostName(id))
    ) {
      leaving.add(id);
    }
  }
  return leaving;
};
