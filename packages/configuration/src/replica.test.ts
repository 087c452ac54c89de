import {
  type CommittedChangeSet,
  type Configuration,
  type ProvisionalWithdrawal,
  emptyConfiguration,
} from '@zinniagrade/types';
import { expect } from 'chai';
import fc from 'fast-check';
import { applyLog } from './apply-changes.js';
import { emptyHead } from './head.js';
import { withdrawnDataCentres } from './provisional-withdrawals.js';
import { type ReplicaEvent, type ReplicaMessage, ReplicaState, isBehind } from './replica-state.js';
import { stepReplica } from './replica.js';

const changeSet = (revision: number): CommittedChangeSet => ({
  operationId: `o${revision}`,
  revision,
  changes: [
    {
      kind: 'put-data-centre',
      dataCentre: { id: `d${revision}`, region: 'r', state: 'in-service' },
    },
  ],
});

const logUpTo = (revision: number): readonly CommittedChangeSet[] =>
  Array.from({ length: revision }, (_, index) => changeSet(index + 1));

const configurationAt = (revision: number): Configuration =>
  applyLog(emptyConfiguration, logUpTo(revision));

const runEvents = (events: readonly ReplicaEvent[], initialState = ReplicaState.create()) => {
  let state = initialState;
  const sent: ReplicaMessage[] = [];
  for (const [index, event] of events.entries()) {
    const step = stepReplica(state, event, index * 1000);
    state = step.state;
    for (const action of step.actions) {
      if (action.kind === 'send' || action.kind === 'flood') {
        sent.push(action.message);
      }
    }
  }
  return { state, sent };
};

const messageEvent = (content: ReplicaMessage): ReplicaEvent => ({
  kind: 'message',
  from: 'x',
  message: content,
});

const changesEvent = (...revisions: readonly number[]): ReplicaEvent =>
  messageEvent({ kind: 'configuration-change', changes: revisions.map(changeSet) });

const withdrawal: ProvisionalWithdrawal = { dataCentre: 'd1', operationId: 'p', issuedAt: 1 };

describe('configuration replica', () => {
  it('pulls the missing changes when a change arrives with a gap', () => {
    const { state, sent } = runEvents([changesEvent(1), changesEvent(3)]);
    expect(state.configuration.revision).to.equal(1);
    expect(sent.at(-1)).to.deep.equal({ kind: 'configuration-pull', haveRevision: 1 });
  });

  it('answers a pull from the log, or with the full configuration if the log is too short', () => {
    const { state } = runEvents([changesEvent(1, 2, 3)]);
    const fromLog = runEvents(
      [messageEvent({ kind: 'configuration-pull', haveRevision: 2 })],
      state,
    ).sent;
    expect(fromLog).to.deep.equal([{ kind: 'configuration-change', changes: [changeSet(3)] }]);
    const fromParts = runEvents([messageEvent({ kind: 'configuration-pull', haveRevision: 0 })], {
      ...state,
      log: state.log.slice(1),
    }).sent;
    const joined = runEvents(fromParts.map(messageEvent)).state;
    expect(joined.configuration).to.deep.equal(configurationAt(3));
  });

  it('accepts a confirmation from a neighbour only at the same or a newer revision', () => {
    const heartbeat = (revision: number): ReplicaEvent => ({
      kind: 'heartbeat',
      from: 'x',
      revision,
      newestRevision: 0,
      confirmedAt: 500,
    });
    const behind = runEvents([changesEvent(1), heartbeat(2)]).state;
    expect([behind.confirmedAt, isBehind(behind)]).to.deep.equal([undefined, true]);
    expect(runEvents([changesEvent(1), heartbeat(1)]).state.confirmedAt).to.equal(500);
  });

  it('keeps a provisional withdrawal until the node has the revision that contains it', () => {
    const provisionalMessage = {
      kind: 'provisional-withdrawal',
      withdrawal,
      settled: false,
    } as const;
    const withdrawnIn = (events: readonly ReplicaEvent[]) => {
      const { configuration, provisionalWithdrawals } = runEvents(events).state;
      return [...withdrawnDataCentres(configuration, provisionalWithdrawals)];
    };
    const before = [changesEvent(1, 2), messageEvent(provisionalMessage)];
    expect(withdrawnIn(before)).to.deep.equal(['d1']);
    const accepted = messageEvent({ ...provisionalMessage, settled: true, revision: 3 });
    expect(withdrawnIn([...before, accepted])).to.deep.equal(['d1']);
    expect(withdrawnIn([...before, accepted, changesEvent(3)])).to.deep.equal([]);
    expect(
      withdrawnIn([
        ...before,
        messageEvent({ ...provisionalMessage, settled: true }),
        messageEvent(provisionalMessage),
      ]),
    ).to.deep.equal([]);
  });

  it('never applies a provisional withdrawal to the last data centre', () => {
    const withdrawals = ['d1', 'd2'].map((dataCentre) =>
      messageEvent({
        kind: 'provisional-withdrawal',
        withdrawal: { dataCentre, operationId: dataCentre, issuedAt: 1 },
        settled: false,
      }),
    );
    const { configuration, provisionalWithdrawals } = runEvents([
      changesEvent(1, 2),
      ...withdrawals,
    ]).state;
    expect([...withdrawnDataCentres(configuration, provisionalWithdrawals)]).to.deep.equal(['d1']);
  });

  it('never goes back to an older revision and always matches the log, in any order of arrival', () => {
    const revision = fc.integer({ min: 1, max: 12 });
    const event = fc.oneof(
      fc.array(revision, { minLength: 1, maxLength: 5 }).map((each) => changesEvent(...each)),
      revision.map((at): ReplicaEvent => ({
        kind: 'stored',
        configuration: configurationAt(at),
        head: { ...emptyHead, revision: at, changes: logUpTo(at) },
        readAt: 0,
      })),
      fc.tuple(revision, revision).map(([at, kept]): ReplicaEvent => ({
        kind: 'head',
        head: { ...emptyHead, revision: at, changes: logUpTo(at).slice(-kept) },
        readAt: 0,
      })),
      revision.map((at): ReplicaEvent =>
        messageEvent({
          kind: 'configuration-state',
          revision: at,
          part: 0,
          parts: 1,
          fragment: { dataCentres: configurationAt(at).dataCentres },
        }),
      ),
    );
    fc.assert(
      fc.property(fc.array(event, { maxLength: 40 }), (events) => {
        let state = ReplicaState.create();
        for (const each of events) {
          const next = stepReplica(state, each, 0).state;
          expect(next.configuration.revision).to.be.at.least(state.configuration.revision);
          expect(next.configuration).to.deep.equal(configurationAt(next.configuration.revision));
          const last = next.log.at(-1)?.revision ?? next.configuration.revision;
          expect(last).to.equal(next.configuration.revision);
          state = next;
        }
      }),
      { seed: 1, numRuns: 300 },
    );
  });
});
