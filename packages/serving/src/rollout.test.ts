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

const answerOf = (
  version: string,
  latency: { readonly firstTokenMs: number; readonly betweenTokensMs?: number },
): VersionEvidence =>
  evidenceOf({
    version,
    service: 'text',
    route: 'a',
    failed: false,
    betweenTokensMs: 8,
    ...latency,
  });

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

  /** Responses of the old version, of which one in twenty takes 900 ms and the others 300 ms. */
  const oldAnswers = (count: number): readonly VersionEvidence[] =>
    Array.from({ length: count }, (_, index) =>
      answerOf('v1', { firstTokenMs: index % 20 === 0 ? 900 : 300 }),
    );

  const newAnswers = (
    count: number,
    firstTokenMs: number,
    betweenTokensMs = 8,
  ): readonly VersionEvidence[] =>
    Array.from({ length: count }, () => answerOf('v2', { firstTokenMs, betweenTokensMs }));

  it('does not complete a version whose few responses are all slow', () => {
    // Guards against a quiet service, on which a test needs more slow responses for a verdict than
    // the first share yields before the rollout time is over.
    for (const count of [4, 5, 6, 8]) {
      const evidence = [...oldAnswers(70), ...newAnswers(count, 1500)];
      for (const elapsedMs of [4500, 6000, 9000]) {
        expect(decideRollout(rollout, 'v1', [reportAt(elapsedMs, evidence)]).share).to.equal(0.06);
      }
      expect(decideRollout(rollout, 'v1', [reportAt(10_200, evidence)])).to.include({
        isTooLate: true,
        mustComplete: false,
      });
    }
  });

  it('does not complete a version whose first events are timely and whose tokens are slow', () => {
    const evidence = [...oldAnswers(70), ...newAnswers(5, 300, 32)];
    expect(decideRollout(rollout, 'v1', [reportAt(9000, evidence)]).share).to.equal(0.06);
  });

  it('does not trust a version while the old one has too few responses for a comparison', () => {
    const evidence = [...oldAnswers(20), ...newAnswers(20, 1500)];
    expect(decideRollout(rollout, 'v1', [reportAt(9000, evidence)]).share).to.equal(0.06);
  });

  it('raises the share no faster than the number of responses allows', () => {
    // Guards against a share that goes from the first step to 100% on a handful of responses,
    // because the time of the steps between has passed.
    const shares = [3, 4, 6, 8].map(
      (count) =>
        decideRollout(rollout, 'v1', [
          reportAt(9000, [...oldAnswers(70), ...newAnswers(count, 300)]),
        ]).share,
    );
    expect(shares).to.deep.equal([0.06, 0.2, 0.5, 1]);
  });

  it('counts open streams that have begun', () => {
    // Guards against a service of long streams, whose good versions are taken back because few of
    // these end within the rollout time.
    const open = (count: number): readonly VersionEvidence[] =>
      newAnswers(count, 300).map((answer) => ({ ...answer, succeeded: 0 }));
    const shares = [
      [3, 8],
      [4, 3],
      [4, 4],
    ].map(
      ([ended = 0, begun = 0]) =>
        decideRollout(rollout, 'v1', [
          reportAt(9000, [...oldAnswers(70), ...newAnswers(ended, 300), ...open(begun)]),
        ]).share,
    );
    expect(shares).to.deep.equal([0.06, 0.5, 1]);
  });

  it('sends a version more of the first requests, and few if these do not respond', () => {
    // Guards against a quiet service whose good versions never get the responses that a raise needs,
    // and against a version that hangs and is sent ever more requests.
    const shareAfter = (newSends: number): number =>
      decideRollout(rollout, 'v1', [
        { ...reportAt(3000, oldAnswers(40)), newSends },
        { ...reportAt(3000, []), newSends: 4 },
      ]).share;
    expect([0, 11, 12, 30].map(shareAfter)).to.deep.equal([0.2, 0.2, 0.06, 0.06]);
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
