import type { Clock } from '@zinniagrade/clock';
import type { RolloutState } from '@zinniagrade/serving';
import type { ClusterState, RolloutStatus } from './cluster-state.js';
import type { Log } from './log.js';
import type { CommitOutcome } from './metadata-store.js';

export interface RolloutStatusWriterOptions {
  readonly node: string;
  /** Other nodes from which messages arrive. */
  readonly aliveNodes: () => ReadonlySet<string>;
  /**
   * Writes the status if the stored one is still at the given revision; 0 means that none exists.
   */
  readonly write: (status: RolloutStatus, revision: number) => Promise<CommitOutcome>;
}

/** Writes the status of one rollout to the store, in turns with the other nodes. */
export interface RolloutStatusWriter {
  /** Writes a status that differs from the stored one, once it is this node's turn. */
  readonly writeInTurn: (status: RolloutStatus) => void;
  /** To be called when nothing has to be written. */
  readonly clear: () => void;
}

/** Each node waits this long for each node before it to write a status. */
const writeTurnLengthMs = 400;
const maxWriteTurns = 6;

export const RolloutStatusWriter = {
  create: (
    clock: Clock,
    log: Log,
    cluster: ClusterState,
    options: RolloutStatusWriterOptions,
  ): RolloutStatusWriter => {
    /** The state that has to be written, and since when. */
    let due: { readonly state: RolloutState; readonly sinceMs: number } | undefined;
    let writing = false;

    const write = async (status: RolloutStatus): Promise<void> => {
      const revision = cluster.rolloutStatuses.get(status.service)?.revision ?? 0;
      writing = true;
      const { outcome } = await options.write(status, revision);
      writing = false;
      log.event('rollout status write', { ...status, revision, outcome });
    };

    /** Nodes write in turns, so that usually only one writes and a dead node blocks nothing. */
    const turnDelayMs = (): number => {
      let precedingNodes = 0;
      for (const node of options.aliveNodes()) {
        precedingNodes += node < options.node ? 1 : 0;
      }
      return Math.min(precedingNodes, maxWriteTurns) * writeTurnLengthMs;
    };

    return {
      writeInTurn: (status) => {
        const nowMs = clock.monotonicMs();
        if (due?.state !== status.state) {
          due = { state: status.state, sinceMs: nowMs };
        }
        if (writing || nowMs - due.sinceMs < turnDelayMs()) {
          return;
        }
        write(status).catch((error: unknown) => {
          writing = false;
          log.event('rollout status write failed', { reason: String(error) });
        });
      },
      clear: () => {
        due = undefined;
      },
    };
  },
};
