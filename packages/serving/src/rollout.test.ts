import { Random } from '@zinniagrade/clock';
import { evidenceOf } from '@zinniagrade/moves';
import type { VersionEvidence } from '@zinniagrade/types';
import { expect } from 'chai';
import { decideRollout, type Rollout, type RolloutReport } from './rollout.js';

const rollout: Rollout = { service: 'text', target: 'v2', durationMs: 14_000 };

/**
 * Responses of two versions on two routes; failure share and latency are those of the new version.
 */
const answers = (
  count: number,
  newShare: number,
  failureShare: number,
  latencyMs: number,
  seed: number,
): readonly VersionEvidence[] => {
  const random = Random.create(seed);
  return Array.from({ length: count }, () => {
    const isNew = random() < newShare;
    return evidenceOf({
      version: isNew ? 'v2' : 'v1',
      service: 'text',
      route: random() < 0.5 ? 'a' : 'b',
      failed: random() < (isNew ? failureShare : 0.02),
      firstTokenMs: isNew ? latencyMs : 300,
    });
  });
};

const reportAt = (elapsedMs: number, evidence: readonly VersionEvidence[]): RolloutReport => ({
  target: 'v2',
  elapsedMs,
  evidence,
});

describe('rollout', () => {
  it('raises the share of a good version in time to move open streams', () => {
    const evidence = answers(400, 0.06, 0.02, 300, 1);
    const shares = [0.1, 0.3, 0.45, 0.55].map(
      (part) => decideRollout(rollout, 'v1', [reportAt(part * 14_000, evidence)]).share,
    );
    expect(shares).to.deep.equal([0.06, 0.2, 0.5, 1]);
  });

  it('sets the share of a failing version to 0 within its first responses', () => {
    // There are 40 requests per second, of which the new version gets 6% and fails half.
    const decision = decideRollout(rollout, 'v1', [
      reportAt(5000, answers(500, 0.06, 0.5, 300, 2)),
    ]);
    expect(decision.share).to.equal(0);
    expect(decision.bad).to.match(/failures/);
  });

  it('detects a version that responds several times slower', () => {
    const decision = decideRollout(rollout, 'v1', [
      reportAt(5000, answers(500, 0.06, 0.02, 1500, 3)),
    ]);
    expect(decision.bad).to.match(/slow/);
  });

  it('sums the evidence of all nodes and adopts the verdict of another node', () => {
    const reports = Array.from({ length: 8 }, (_, node) =>
      reportAt(5000, answers(60, 0.06, 0.5, 300, 10 + node)),
    );
    expect(decideRollout(rollout, 'v1', reports).bad).not.to.equal(undefined);
    const [first] = reports;
    const withVerdict = { ...reportAt(10, []), bad: 'failures' };
    expect(decideRollout(rollout, 'v1', [first ?? withVerdict, withVerdict]).share).to.equal(0);
  });

  it('rolls back a version without any evidence', () => {
    // Guards against moving all traffic to a version whose upstreams never responded.
    const decision = decideRollout(rollout, 'v1', [
      reportAt(12_000, answers(500, 0, 0.02, 300, 4)),
    ]);
    expect(decision).to.include({ share: 0.06, isTooLate: true, mustComplete: false });
  });

  it('ignores reports of an earlier rollout', () => {
    const earlier = { ...reportAt(13_000, answers(500, 0.06, 0.5, 300, 5)), target: 'v0' };
    expect(decideRollout(rollout, 'v1', [earlier]).bad).to.equal(undefined);
  });
});
