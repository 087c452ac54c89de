import { expect } from 'chai';
import { PromptQuarantine } from './prompt-quarantine.js';

const secondMs = 1000;

describe('prompt quarantine', () => {
  let quarantine: PromptQuarantine;
  let nowMs: number;

  beforeEach(() => {
    quarantine = PromptQuarantine.create();
    nowMs = 0;
  });

  /** A request that is lost with its engine a second after the one before. */
  const lose = (engine: string, ...parts: readonly string[]): readonly string[] => {
    nowMs += secondMs;
    return quarantine.recordLoss({ engine, parts, atMs: nowMs });
  };

  it('keeps a part away after three engines were lost on it, but not the parts it comes with', () => {
    // Guards against one kind of request that crashes engines in turn, and against refusing all
    // requests that share its first part.
    lose('e1', 'first', 'crashing');
    quarantine.recordLoss({ engine: 'e1', parts: ['first', 'other'], atMs: nowMs + 1 });
    lose('e2', 'first', 'crashing');
    expect(quarantine.isSuspect(['first', 'crashing'], nowMs)).to.equal(true);
    expect(lose('e3', 'first', 'crashing')).to.deep.equal(['crashing']);
    lose('e4', 'first', 'other');
    expect(quarantine.findIn(['first', 'other'], nowMs)).to.equal(undefined);
    expect(quarantine.findIn(['first', 'crashing'], nowMs)).to.equal('crashing');
  });

  it('finds the first part if requests share no other', () => {
    lose('e1', 'crashing', 'a');
    lose('e2', 'crashing', 'b');
    expect(lose('e3', 'crashing', 'c')).to.deep.equal(['crashing']);
  });

  it('never suspects a part that engines have written on lately', () => {
    // Guards against refusing sound requests while engines are lost for other reasons.
    for (const engine of ['e1', 'e2', 'e3', 'e4']) {
      quarantine.recordSound(['sound'], nowMs);
      expect(lose(engine, 'sound')).to.deep.equal([]);
      expect(quarantine.isSuspect(['sound'], nowMs)).to.equal(false);
    }
  });

  it('releases a part once an engine has written on it', () => {
    lose('e1', 'part');
    lose('e2', 'part');
    lose('e3', 'part');
    expect(quarantine.recordSound(['part'], nowMs)).to.deep.equal(['part']);
    expect(quarantine.findIn(['part'], nowMs)).to.equal(undefined);
    nowMs += 100 * secondMs;
    expect(lose('e4', 'part')).to.deep.equal([]);
  });

  it('counts engines that are lost at once as one loss', () => {
    // Guards against blaming a part for a failed link or a lost data centre.
    for (const engine of ['e1', 'e2', 'e3', 'e4']) {
      const loss = { engine, parts: ['part'], atMs: nowMs };
      expect(quarantine.recordLoss(loss)).to.deep.equal([]);
    }
  });

  it('counts one crash of an engine once, whoever reports it and when', () => {
    for (const atMs of [0, 30, 60, 90]) {
      quarantine.recordLoss({ engine: 'e1', parts: ['part'], atMs });
      quarantine.recordLoss({ engine: 'e1', parts: ['part', `other-${String(atMs)}`], atMs });
    }
    expect(quarantine.isSuspect(['part'], 100)).to.equal(false);
  });

  it('counts each crash of an engine that restarts under its old id', () => {
    // Guards against a part that crashes the same few engines again and again.
    lose('e1', 'part');
    nowMs += secondMs;
    lose('e1', 'part');
    nowMs += secondMs;
    expect(lose('e1', 'part')).to.deep.equal(['part']);
  });

  it('reports no loss of a part that was proven later to nodes that join', () => {
    // Guards against a node that joins and refuses the part that all requests share.
    lose('e1', 'first', 'a');
    lose('e2', 'first', 'b');
    quarantine.recordSound(['first'], nowMs + 1);
    const reported = quarantine.losses(nowMs).flatMap(({ parts }) => parts);
    expect(reported).to.deep.equal(['a', 'b']);
  });

  it('lets an old proof expire, however often it is heard', () => {
    for (const engine of ['e1', 'e2']) {
      quarantine.recordSound(['part'], 0);
      nowMs += 100 * secondMs;
      quarantine.recordSound(['part'], 0);
      lose(engine, 'part');
    }
    expect(lose('e3', 'part')).to.deep.equal(['part']);
  });

  it('allows a trial after a time that grows with the losses', () => {
    // Guards against a sound part that stays refused as no proof can come, and against trials that
    // crash one engine after the other.
    lose('e1', 'part');
    lose('e2', 'part');
    lose('e3', 'part');
    expect(quarantine.trialDueAtMs('part', nowMs)).to.equal(nowMs + 10 * secondMs);
    lose('e4', 'part');
    expect(quarantine.trialDueAtMs('part', nowMs)).to.equal(nowMs + 60 * secondMs);
    lose('e5', 'part');
    expect(quarantine.trialDueAtMs('part', nowMs)).to.equal(Infinity);
  });

  it('does not take a part from the store that it has proof of', () => {
    quarantine.recordSound(['part'], nowMs);
    quarantine.add('part', nowMs);
    expect(quarantine.findIn(['part'], nowMs)).to.equal(undefined);
  });
});
