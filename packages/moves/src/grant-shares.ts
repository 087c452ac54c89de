import type { Milliseconds, NodeId } from '@zinniagrade/types';
import type {
  CoordinatedMove,
  CoordinatorAction,
  CoordinatorStep,
  MoveTime,
} from './coordinated-move.js';
import { coveredUntil, latestReportOf, withSentGrant } from './move-reports.js';
import { shareSteps } from './share-schedule.js';

/** Longest time that a share is in force after the oldest evidence it is based on. */
export const grantLifetimeMs: Milliseconds = 2500;
export const grantIntervalMs: Milliseconds = 500;

/**
 * Sends every node its share. If the evidence of all nodes is known up to time T, the share is
 * valid until T + 2.5 s. So if evidence of a fault does not reach the coordinator, for whatever
 * reason, the new version stops getting traffic at most 2.5 s after that evidence.
 */
export const grantShares = (
  state: CoordinatedMove,
  nodes: readonly NodeId[],
  now: MoveTime,
): CoordinatorStep => {
  if (now.monotonicMs - state.grantedAt < grantIntervalMs) {
    return { state, actions: [] };
  }
  const sequence = state.sequence + 1;
  const reports = new Map(nodes.map((node) => [node, latestReportOf(state.reports, node)]));
  // A node that has not answered a grant of this coordinator yet has no share from it.
  const withoutGrant = nodes.filter((node) => reports.get(node)?.coversUntil === undefined);
  const covered = coveredUntil(
    state.reports,
    nodes.filter((node) => !withoutGrant.includes(node)),
  );
  const step = state.bad === undefined && covered !== undefined ? state.step : undefined;
  const actions: CoordinatorAction[] = [];
  for (const [to, stored] of reports) {
    if (stored === undefined) {
      continue;
    }
    const share = step === undefined || withoutGrant.includes(to) ? 0 : (shareSteps[step] ?? 0);
    actions.push({
      kind: 'grant',
      to,
      share: {
        move: state.move.id,
        share,
        sequence,
        coordinator: state.nodeId,
        validMs: share === 0 ? 0 : (covered ?? 0) + grantLifetimeMs - stored.receivedAt,
        reportSequence: stored.report.sequence,
        ...(state.bad === undefined ? {} : { bad: state.bad }),
      },
    });
  }
  return {
    state: {
      ...state,
      sequence,
      grantedAt: now.monotonicMs,
      sentGrants: withSentGrant(state.sentGrants, sequence, now.monotonicMs),
    },
    actions,
  };
};
