import { expect } from 'chai';
import {
  createReach,
  isSuspect,
  recordContact,
  recordDoubt,
  recordFailedTry,
  recordOpenedTry,
  recordTry,
  showsCutOff,
  type Reach,
} from './reach.js';

const upstreams = ['u1', 'u2', 'u3', 'u4', 'u5', 'u6'];

const failTries = (reach: Reach, ids: readonly string[]): void => {
  for (const id of ids) {
    recordTry(reach, id);
    recordFailedTry(reach, id);
  }
};

describe('reach of a service', () => {
  it('is lost when new connections to four upstreams have failed', () => {
    const reach = createReach(0);
    failTries(reach, ['u1', 'u2', 'u3']);
    expect(showsCutOff(reach, upstreams)).to.equal(false);
    failTries(reach, ['u4']);
    expect(showsCutOff(reach, upstreams)).to.equal(true);
  });

  it('is lost when a service with fewer upstreams has none that accepts connections', () => {
    const reach = createReach(0);
    failTries(reach, ['u1']);
    expect(showsCutOff(reach, ['u1', 'u2'])).to.equal(false);
    failTries(reach, ['u2']);
    expect(showsCutOff(reach, ['u1', 'u2'])).to.equal(true);
  });

  it('counts an upstream once, and none that is gone', () => {
    // Guards against one crashed upstream, or several that have left, taken for a cut.
    const reach = createReach(0);
    failTries(reach, ['u1', 'u1', 'u1', 'u1', 'gone1', 'gone2', 'gone3']);
    expect(showsCutOff(reach, upstreams)).to.equal(false);
  });

  it('is open while a try has no result', () => {
    // Guards against a verdict on crashed upstreams that refuse before a sound one accepts.
    const reach = createReach(0);
    failTries(reach, ['u1', 'u2', 'u3', 'u4']);
    recordTry(reach, 'u5');
    expect(showsCutOff(reach, upstreams)).to.equal(false);
  });

  it('is shown by one contact, also against tries that began before it', () => {
    const reach = createReach(0);
    failTries(reach, ['u1', 'u2', 'u3']);
    recordTry(reach, 'u4');
    recordContact(reach, 400);
    recordFailedTry(reach, 'u4');
    failTries(reach, ['u5']);
    expect(showsCutOff(reach, upstreams)).to.equal(false);
    expect(isSuspect(reach, 1000)).to.equal(false);
  });

  it('has no verdict without tries', () => {
    expect(showsCutOff(createReach(0), [])).to.equal(false);
    expect(showsCutOff(createReach(0), upstreams)).to.equal(false);
  });

  it('is doubted after a request has waited for 250 ms without a byte from any upstream', () => {
    const reach = createReach(0);
    reach.open.add({ sentAtMs: 1000 });
    reach.open.add({ sentAtMs: 1200 });
    expect(isSuspect(reach, 1249)).to.equal(false);
    recordContact(reach, 1240);
    expect(isSuspect(reach, 1489)).to.equal(false);
    expect(isSuspect(reach, 1490)).to.equal(true);
  });

  it('stays doubted until a contact when the request that raised the doubt has ended', () => {
    const reach = createReach(0);
    const request = { sentAtMs: 1000 };
    reach.open.add(request);
    expect(isSuspect(reach, 1250)).to.equal(true);
    reach.open.delete(request);
    expect(isSuspect(reach, 1300)).to.equal(true);
    recordContact(reach, 1310);
    expect(isSuspect(reach, 5000)).to.equal(false);
  });

  it('is doubted after a lost connection only if nothing arrives from other upstreams', () => {
    // Guards against new connections for each of the failures of one crashed upstream.
    const reach = createReach(0);
    recordContact(reach, 1000);
    recordDoubt(reach);
    expect(isSuspect(reach, 1050)).to.equal(false);
    expect(isSuspect(reach, 1100)).to.equal(true);
  });

  it('is doubted less often while its upstreams are slow', () => {
    // Guards against four rounds of connections a second to a service that is merely slow.
    const reach = createReach(0);
    reach.open.add({ sentAtMs: 0 });
    const doubtsAtMs: number[] = [];
    for (let nowMs = 0; nowMs <= 5000; nowMs += 25) {
      if (isSuspect(reach, nowMs)) {
        doubtsAtMs.push(nowMs);
        recordTry(reach, 'u1');
        recordOpenedTry(reach, 'u1', nowMs);
      }
    }
    expect(doubtsAtMs).to.deep.equal([250, 750, 1750, 2750, 3750, 4750]);
  });
});
