import { expect } from 'chai';
import { Quarantine, requestKeyOf } from './quarantine.js';

const secondMs = 1000;
/** Time from the send of a request to the loss of its upstream. */
const sendTimeMs = 10;

describe('quarantine', () => {
  let quarantine: Quarantine;
  let nowMs: number;

  beforeEach(() => {
    quarantine = Quarantine.create('self');
    nowMs = 0;
  });

  /** A request that is lost with its engine a second after the one before. */
  const lose = (upstream: string, ...keys: readonly string[]): readonly string[] => {
    nowMs += secondMs;
    return loseAt(nowMs, upstream, ...keys);
  };

  const loseAt = (atMs: number, upstream: string, ...keys: readonly string[]): readonly string[] =>
    quarantine.recordLoss({ upstream, keys, atMs, sentAtMs: atMs - sendTimeMs, witness: 'self' });

  it('keeps a part away after three engines were lost on it, but not the parts it comes with', () => {
    // Guards against one kind of request that crashes engines in turn, and against refusing all
    // requests that share its first part.
    lose('e1', 'first', 'crashing');
    loseAt(nowMs + 1, 'e1', 'first', 'other');
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
      expect(loseAt(nowMs, engine, 'part')).to.deep.equal([]);
    }
  });

  it('counts one crash of an engine once, whoever reports it and when', () => {
    for (const atMs of [0, 30, 60, 90]) {
      loseAt(atMs, 'e1', 'part');
      loseAt(atMs, 'e1', 'part', `other-${String(atMs)}`);
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
    const reported = quarantine.losses(nowMs).flatMap(({ keys }) => keys);
    expect(reported).to.deep.equal(['b', 'a']);
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

  it('does not blame a request for upstreams that fail together while it is in flight', () => {
    // Guards against refusing a request that many callers repeat after a rack has lost its power.
    const key = requestKeyOf('repeated');
    for (const [index, upstream] of ['u1', 'u2', 'u3'].entries()) {
      const atMs = secondMs + 30 * index;
      quarantine.recordLoss({ upstream, keys: [key], atMs, sentAtMs: 950, witness: 'self' });
    }
    expect(quarantine.isSuspect([key], 2 * secondMs)).to.equal(false);
    expect(quarantine.findIn([key], 2 * secondMs)).to.equal(undefined);
  });

  it('blames a request that crashes upstreams which it is sent to in turn', () => {
    // Guards against an upstream under its old id whose second crash counts as the first one.
    const key = requestKeyOf('crashing');
    loseAt(1000, 'u1', key);
    loseAt(1060, 'u2', key);
    expect(loseAt(1200, 'u1', key)).to.deep.equal([key]);
    expect(quarantine.trialDueAtMs(key, 1200)).to.equal(1200 + 10 * secondMs);
  });

  it('believes no single other node that upstreams were lost', () => {
    // Guards against a node with failing connections that has requests refused everywhere.
    const lossOf = (index: number, witness: string) => {
      const atMs = secondMs * (index + 1);
      return { upstream: `u${String(index)}`, keys: ['key'], atMs, sentAtMs: atMs, witness };
    };
    for (let index = 0; index < 5; index += 1) {
      expect(quarantine.recordLoss(lossOf(index, 'cut off'))).to.deep.equal([]);
    }
    expect(quarantine.isSuspect(['key'], 5 * secondMs)).to.equal(false);
    expect(quarantine.recordLoss(lossOf(5, 'another'))).to.deep.equal(['key']);
    expect([...quarantine.witnesses('key', 6 * secondMs)]).to.deep.equal(['cut off', 'another']);
  });

  it('keeps losses of the same request among many others', () => {
    // Guards against a node that joins and learns only of losses that came once.
    lose('e1', 'same');
    for (let count = 0; count < 300; count += 1) {
      loseAt(nowMs, `other-${String(count)}`, `single-${String(count)}`);
    }
    lose('e2', 'same');
    const [first, second] = quarantine.losses(nowMs);
    expect([first?.keys, second?.keys]).to.deep.equal([['same'], ['same']]);
  });
});
