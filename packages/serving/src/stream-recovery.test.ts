import { expect } from 'chai';
import { callerPatienceMs, decideRecovery, maxSilenceMs } from './stream-recovery.js';

const interrupted = {
  resumable: true,
  hasBegun: true,
  hasBackup: true,
  continuations: 0,
  runs: 1,
  maxRuns: 2,
};

describe('stream recovery', () => {
  it('prefers a copy, as another run has to read the prompt again', () => {
    expect(decideRecovery(interrupted)).to.equal('continue-from-copy');
    expect(decideRecovery({ ...interrupted, hasBackup: false })).to.equal('run-again');
  });

  it('never runs a stream again that can not be resumed', () => {
    // Guards against a second run of a request that may run only once.
    expect(decideRecovery({ ...interrupted, resumable: false, hasBackup: false })).to.equal('end');
  });

  it('never goes on from a copy of a run that has not begun', () => {
    // Guards against a second run: the engine of the backup may have no copy and run the request anew.
    const lost = { ...interrupted, hasBegun: false };
    expect(decideRecovery({ ...lost, resumable: false })).to.equal('end');
    expect(decideRecovery(lost)).to.equal('run-again');
    expect(decideRecovery({ ...lost, runs: 2 })).to.equal('end');
  });

  it('runs a stream as often as its route allows', () => {
    // Guards against engines that fail all requests and are sent the same one again and again.
    expect(decideRecovery({ ...interrupted, hasBackup: false, runs: 2 })).to.equal('end');
    expect(decideRecovery({ ...interrupted, continuations: 8 })).to.equal('run-again');
  });

  it('takes a silent stream away only if it can go on elsewhere, before its caller leaves', () => {
    const patienceMs = callerPatienceMs(1800, 180);
    expect(patienceMs).to.equal(7200);
    const silent = { goalMs: 1800, gapGoalMs: 180 };
    expect(maxSilenceMs({ ...silent, recovery: 'end' })).to.equal(Infinity);
    for (const recovery of ['run-again', 'continue-from-copy'] as const) {
      expect(maxSilenceMs({ ...silent, recovery })).to.be.lessThan(patienceMs);
    }
  });

  it('lets a stream wait for its first event that could only continue from a copy', () => {
    // Guards against streams in the queue of a busy engine that are ended because the engine of
    // their backup has no copy of a run that has not begun.
    const recovery = decideRecovery({ ...interrupted, resumable: false, hasBegun: false });
    expect(maxSilenceMs({ goalMs: 1800, gapGoalMs: 180, recovery })).to.equal(Infinity);
  });
});
