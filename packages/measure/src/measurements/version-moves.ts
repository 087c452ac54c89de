import { Random } from '@zinniagrade/clock';
import type { Figures, Measurement } from '../measurement.js';
import { percentile } from '../measurement.js';
import type { MoveRecord } from '../version-moves/move-record.js';
import {
  badVersionKinds,
  type Deployment,
  deployments,
  MoveScenario,
  type VersionKind,
} from '../version-moves/move-scenario.js';
import { runMove } from '../version-moves/run-move.js';

/**
 * Moves for each version kind, seed and deployment. Over 10 seeds and both deployments: 200 good
 * moves, and 80 bad ones of each kind.
 */
const goodMoves = 10;
const badMoves = 4;

const shareOf = (records: readonly MoveRecord[], test: (record: MoveRecord) => boolean): number =>
  records.filter(test).length / records.length;

const largest = (records: readonly MoveRecord[], figure: (record: MoveRecord) => number): number =>
  Math.max(0, ...records.map(figure));

const goodFigures = (records: readonly MoveRecord[]): Figures => ({
  moves_count: records.length,
  done_in_time_share: shareOf(records, ({ outcome }) => outcome === 'done'),
  false_alarm_share: shareOf(records, ({ judgedBad }) => judgedBad),
});

const badFigures = (records: readonly MoveRecord[]): Figures => ({
  moves_count: records.length,
  taken_back_share: shareOf(records, ({ outcome }) => outcome === 'taken-back'),
  shown_share: shareOf(records, ({ detectableAtMs }) => detectableAtMs !== undefined),
  share_before_shown_largest: largest(records, (record) => record.largestShareBeforeDetectable),
  momentary_share_largest: largest(records, (record) => record.largestMomentaryShare),
  last_request_after_shown_p50_ms: percentile(
    records.map((record) => record.lastRequestAfterDetectableMs),
    0.5,
  ),
  last_request_after_shown_largest_ms: largest(
    records,
    (record) => record.lastRequestAfterDetectableMs,
  ),
  requests_after_shown_largest_count: largest(records, (record) => record.requestsAfterDetectable),
});

const runKind = (
  kind: VersionKind,
  policy: 'naive' | 'current',
  deployment: Deployment,
  seed: number,
): Figures => {
  const moves = kind === 'good' ? goodMoves : badMoves;
  const records = Array.from({ length: moves }, (_, index) => {
    const moveSeed = seed * 1_000_000 + index;
    const scenario = MoveScenario.create(kind, policy, deployment, {}, Random.create(moveSeed));
    return runMove(scenario, moveSeed);
  });
  return kind === 'good' ? goodFigures(records) : badFigures(records);
};

/** Moves to good and to bad versions in both deployments, in virtual time. */
export const measurement: Measurement = {
  name: 'version-moves',
  policies: ['naive', 'current'],
  defaultSeeds: 10,
  run: ({ policy, seed }) => {
    const rows: Figures[] = [];
    for (const [name, deployment] of Object.entries(deployments)) {
      for (const kind of ['good', ...badVersionKinds] as const) {
        const simulatedPolicy = policy === 'naive' ? 'naive' : 'current';
        rows.push({
          deployment: name,
          version: kind,
          ...runKind(kind, simulatedPolicy, deployment, seed),
        });
      }
    }
    return Promise.resolve(rows);
  },
};
