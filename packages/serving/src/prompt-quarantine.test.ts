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
    return quarantine.recordLostStart({ engine, parts, atMs: nowMs });
  };

  it('keeps a part away after three engines were lost on it, but not the parts it comes with', () => {
    // Guards against one kind of request that crashes engines in turn, and against refusing all
    // requests that share its first part.
    lose('e1', 'first', 'crashing');
    lose('e1', 'first', 'other');
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
      const start = { engine, parts: ['part'], atMs: nowMs };
      expect(quarantine.recordLostStart(start)).to.deep.equal([]);
    }
  });

  it('does not count one engine or one report twice', () => {
    lose('e1', 'part');
    lose('e1', 'part');
    lose('e1', 'part', 'other');
    expect(quarantine.isSuspect(['part'], nowMs)).to.equal(false);
    expect(quarantine.lostStarts(nowMs)).to.have.length(2);
  });
});
