import { Random } from '@zinniagrade/clock';
import { evidenceOf, Moves, type MovesEvent } from '@zinniagrade/moves';
import { nodeMessageSchema } from '@zinniagrade/node-link';
import { checkDocument, formatFieldErrors } from '@zinniagrade/settings';
import { expect } from 'chai';
import { deployments, MoveScenario } from './move-scenario.js';
import { runMove } from './run-move.js';

describe('messages of moves', () => {
  it('match the schema of the node link, which closes the connection otherwise', () => {
    const move = {
      id: 'm',
      service: 's',
      fromVersion: 'old',
      toVersion: 'new',
      startAt: 0,
      deadlineAt: 60_000,
      state: 'planned',
    } as const;
    const outcome = { version: 'new', service: 's', route: 'r', failed: true };
    const states = new Map(['a', 'b'].map((id) => [id, Moves.create(id, 1)]));
    const kinds = new Set<string>();
    const stepNode = (id: string, event: MovesEvent, at: number): void => {
      const { actions, state } = Moves.step(states.get(id) ?? Moves.create(id, 1), event, {
        monotonicMs: at,
        wallMs: at,
      });
      states.set(id, state);
      for (const action of actions) {
        if (action.kind !== 'send') {
          continue;
        }
        const { message, to } = action;
        kinds.add(message.kind);
        const checked = checkDocument(nodeMessageSchema, message);
        expect(checked.caseOf({ Left: formatFieldErrors, Right: () => '' })).to.equal('');
        if (message.kind === 'move-evidence') {
          stepNode(to, { kind: 'reports-received', from: id, reports: message.reports ?? [] }, at);
        } else if (message.kind === 'move-grant') {
          stepNode(to, { kind: 'grants-received', from: id, shares: message.shares }, at);
        }
      }
    };
    const events: readonly MovesEvent[] = [
      { kind: 'members', nodes: ['a', 'b'], leaving: [] },
      { kind: 'configuration', moves: { m: move } },
      { kind: 'outcomes', evidence: [evidenceOf(outcome)] },
      ...Array.from({ length: 5 }, (): MovesEvent => ({ kind: 'tick' })),
    ];
    for (const [index, event] of events.entries()) {
      for (const id of states.keys()) {
        stepNode(id, event, 600.5 * index);
      }
    }
    expect([...kinds]).to.have.members(['move-evidence', 'move-grant']);
  });
});

describe('simulated moves', () => {
  it('gives the same record for the same seed', () => {
    const record = () => {
      const scenario = MoveScenario.create(
        'bad-at-once',
        'current',
        deployments.returns,
        { coordinatorKilled: true },
        Random.create(5),
      );
      return runMove(scenario, 5);
    };
    expect(record()).to.deep.equal(record());
  });
});
