import { commitChangeSet } from '@zinniagrade/configuration';
import { Moves, type MovesAction, type MovesEvent } from '@zinniagrade/moves';
import type { NodeLink } from '@zinniagrade/node-link';
import type {
  Configuration,
  HeldShare,
  Incarnation,
  Member,
  MoveEvidenceMessage,
  MoveGrant,
  MoveId,
  NodeId,
} from '@zinniagrade/types';
import type { ControlDependencies } from './control-dependencies.js';

/** Runs the version moves of one node. */
export interface MovesController {
  readonly onConfigurationChange: (configuration: Configuration) => void;
  readonly onMembersChange: (present: readonly Member[]) => void;
  readonly onMessage: (from: NodeId, message: MoveEvidenceMessage | MoveGrant) => void;
  /** Due every 100 ms. */
  readonly tick: () => void;
  readonly moveShares: () => ReadonlyMap<MoveId, HeldShare>;
  /** Nodes to which a link is wanted: the coordinators of the moves. */
  readonly wantedNodes: () => readonly NodeId[];
}

type Dependencies = Pick<
  ControlDependencies,
  'clock' | 'counters' | 'event' | 'store' | 'dataPath'
>;

export const MovesController = {
  create: (
    nodeId: NodeId,
    incarnation: Incarnation,
    link: NodeLink,
    dependencies: Dependencies,
    onChange: () => void,
  ): MovesController => {
    const { clock, counters, event, store, dataPath } = dependencies;
    let state = Moves.create(nodeId, incarnation);
    const committing = new Set<string>();

    const commitMove = async (action: Extract<MovesAction, { kind: 'commit' }>): Promise<void> => {
      const { changeSet, notAfterWallMs } = action;
      if (committing.has(changeSet.operationId)) {
        return;
      }
      committing.add(changeSet.operationId);
      const result = await commitChangeSet(store, changeSet, { clock, notAfterWallMs }).run();
      committing.delete(changeSet.operationId);
      result.ifLeft(({ kind }) => {
        counters.increment('move-commit-failures', 1, { kind });
      });
    };

    const apply = (action: MovesAction): void => {
      switch (action.kind) {
        case 'send':
          link.send(action.to, action.message);
          return;
        case 'commit':
          void commitMove(action);
          return;
        case 'timeline':
          event(action.name, action.fields);
      }
    };

    const step = (movesEvent: MovesEvent): void => {
      const before = state;
      const next = Moves.step(state, movesEvent, {
        monotonicMs: clock.monotonicMs(),
        wallMs: clock.wallMs(),
      });
      state = next.state;
      for (const action of next.actions) {
        apply(action);
      }
      if (before.nodeMoves !== state.nodeMoves) {
        onChange();
      }
    };

    return {
      onConfigurationChange: ({ moves }) => {
        step({ kind: 'configuration', moves });
      },
      onMembersChange: (present) => {
        step({
          kind: 'members',
          nodes: present.map((member) => member.nodeId),
          leaving: present
            .filter(({ status }) => status === 'leaving')
            .map((member) => member.nodeId),
        });
      },
      onMessage: (from, message) => {
        step(
          message.kind === 'move-grant'
            ? { kind: 'grants-received', from, shares: message.shares }
            : { kind: 'reports-received', from, reports: message.reports ?? [] },
        );
      },
      tick: () => {
        const evidence = dataPath.collectVersionEvidence();
        if (evidence.length > 0) {
          step({ kind: 'outcomes', evidence });
        }
        step({ kind: 'tick' });
      },
      moveShares: () => Moves.shares(state, clock.wallMs()),
      wantedNodes: () => {
        const coordinators = Object.values(state.coordinators).filter(
          (node): node is NodeId => node !== undefined,
        );
        return [...new Set(coordinators)];
      },
    };
  },
};
