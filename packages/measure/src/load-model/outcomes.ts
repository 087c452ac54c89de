import type { Figures } from '../measurement.js';
import { percentile } from '../measurement.js';
import type { ModelRequest } from './workload.js';

/** The part of a gap between tokens that exceeds this counts as stall time. */
const stallThresholdMs = 68;
const maxGapMs = 20_000;

interface Outcome {
  readonly request: ModelRequest;
  firstAt?: number;
  lastAt?: number;
  stallMs: number;
  /** The complete answer was delivered. */
  complete: boolean;
  /** A token reached the caller twice, or a call was answered twice. */
  repeated: boolean;
  refused: boolean;
  tokens: number;
}

/** Outcomes of the requests as the callers saw them. */
export interface Outcomes {
  readonly arrive: (request: ModelRequest) => void;
  readonly refuse: (id: string) => void;
  readonly token: (id: string, index: number, atMs: number) => void;
  /** A `restart` event: the tokens so far are void, so the same indexes may come again. */
  readonly restart: (id: string) => void;
  readonly end: (id: string, atMs: number) => void;
  /**
   * Counts requests that arrived from `countFromMs` until before `countToMs`: earlier ones only
   * warm the model up, and later ones may not complete before the simulation ends.
   */
  readonly figures: (countFromMs: number, countToMs: number) => Figures;
}

export const Outcomes = {
  create: (): Outcomes => {
    const outcomes = new Map<string, Outcome>();
    const gaps = new Float64Array(maxGapMs);
    const outcomeOf = (id: string): Outcome => {
      const outcome = outcomes.get(id);
      if (outcome === undefined) {
        throw new Error(`request ${id} was never registered as arrived`);
      }
      return outcome;
    };

    const gapPercentile = (fraction: number): number => {
      const total = gaps.reduce((sum, count) => sum + count, 0);
      let seen = 0;
      for (const [index, count] of gaps.entries()) {
        seen += count;
        if (seen >= fraction * total) {
          return index + 1;
        }
      }
      return 0;
    };

    const countGap = (outcome: Outcome, atMs: number): void => {
      const gap = outcome.lastAt === undefined ? 0 : atMs - outcome.lastAt;
      if (outcome.lastAt !== undefined) {
        const index = Math.min(maxGapMs - 1, Math.floor(gap));
        gaps[index] = (gaps[index] ?? 0) + 1;
      }
      outcome.stallMs += Math.max(0, gap - stallThresholdMs);
    };

    const figures = (countFromMs: number, countToMs: number): Figures => {
      const counted = [...outcomes.values()].filter(
        ({ request }) => request.arrivedAt >= countFromMs && request.arrivedAt < countToMs,
      );
      const streams = counted.filter(({ request }) => request.service.kind === 'generation');
      const lookups = counted.filter(({ request }) => request.service.class === 'lookup');
      const served = streams.filter(({ firstAt }) => firstAt !== undefined);
      const completeOnceShare = (list: readonly Outcome[]): number =>
        list.filter(({ complete, repeated }) => complete && !repeated).length /
        Math.max(1, list.length);
      const firstAnswerTimes = (list: readonly Outcome[]): number[] =>
        list.flatMap(({ firstAt, request }) =>
          firstAt === undefined ? [] : [firstAt - request.arrivedAt],
        );
      const lookupDeadlineMs = lookups[0]?.request.service.firstAnswerDeadlineMs ?? 0;
      const lookupTimes = firstAnswerTimes(lookups);
      return {
        generations: streams.length,
        complete_and_once_share: completeOnceShare(streams),
        refused_share:
          streams.filter(({ refused }) => refused).length / Math.max(1, streams.length),
        stall_s_per_request:
          served.reduce((sum, { stallMs }) => sum + stallMs, 0) / 1000 / Math.max(1, served.length),
        first_token_p95_ms: Math.round(percentile(firstAnswerTimes(served), 0.95)),
        between_tokens_p95_ms: gapPercentile(0.95),
        between_tokens_p99_ms: gapPercentile(0.99),
        tokens_per_second: Math.round(
          served.reduce((sum, { tokens }) => sum + tokens, 0) / ((countToMs - countFromMs) / 1000),
        ),
        lookups_complete_and_once_share: completeOnceShare(lookups),
        lookups_late_or_lost_share:
          1 -
          lookupTimes.filter((ms) => ms <= lookupDeadlineMs).length / Math.max(1, lookups.length),
        lookup_p95_ms: Math.round(percentile(lookupTimes, 0.95)),
      };
    };

    return {
      arrive: (request) => {
        outcomes.set(request.id, {
          request,
          stallMs: 0,
          complete: false,
          repeated: false,
          refused: false,
          tokens: 0,
        });
      },
      refuse: (id) => {
        outcomeOf(id).refused = true;
      },
      token: (id, index, atMs) => {
        const outcome = outcomeOf(id);
        outcome.repeated ||= index < outcome.tokens;
        countGap(outcome, atMs);
        outcome.firstAt ??= atMs;
        outcome.lastAt = atMs;
        outcome.tokens = Math.max(outcome.tokens, index + 1);
      },
      restart: (id) => {
        outcomeOf(id).tokens = 0;
      },
      end: (id, atMs) => {
        const outcome = outcomeOf(id);
        outcome.repeated ||= outcome.complete;
        outcome.complete = true;
        outcome.firstAt ??= atMs;
      },
      figures,
    };
  },
};
