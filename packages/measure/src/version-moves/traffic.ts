import type { Random } from '@zinniagrade/clock';
import type { Milliseconds } from '@zinniagrade/types';
import type { Outcome } from '@zinniagrade/moves';
import type { MoveScenario, Route } from './move-scenario.js';

export const oldVersion = 'old';
export const newVersion = 'new';
export const service = 'service';

/** Share of the answers that fail with any version, without a fault. */
const baselineFailedShare = 0.01;
const firstTokenSigma = 0.35;
const betweenTokensSigma = 0.25;
/** Longest time from the first token to the end of an answer. Outcomes are recorded at the end. */
const longestAnswerMs: Milliseconds = 5000;

/** Draws the number of arrivals in an interval from a Poisson distribution. */
export const drawArrivals = (mean: number, random: Random): number => {
  const limit = Math.exp(-mean);
  let arrivals = 0;
  for (let product = random(); product > limit; product *= random()) {
    arrivals += 1;
  }
  return arrivals;
};

const drawNormal = (random: Random): number =>
  Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());

export const drawRoute = (routes: readonly Route[], random: Random): Route => {
  let draw = random();
  for (const route of routes) {
    draw -= route.requestShare;
    if (draw < 0) {
      return route;
    }
  }
  return (
    routes.at(-1) ?? { name: '', requestShare: 1, firstTokenMs: 100, betweenTokensMs: undefined }
  );
};

export interface Answer {
  readonly outcome: Outcome;
  readonly afterMs: Milliseconds;
}

/** Draws the answer of one version. If `faulty`, the fault of the new version applies. */
export const drawAnswer = (
  scenario: MoveScenario,
  version: string,
  route: Route,
  faulty: boolean,
  random: Random,
): Answer => {
  const { fault, kind } = scenario;
  const slowdown = faulty || (kind === 'good' && version === newVersion) ? fault.slowdown : 1;
  const failedShare = faulty
    ? Math.max(baselineFailedShare, fault.failedShare)
    : baselineFailedShare;
  const firstTokenMs =
    route.firstTokenMs * slowdown * Math.exp(firstTokenSigma * drawNormal(random));
  const common = { version, service, route: route.name };
  if (random() < failedShare) {
    return { outcome: { ...common, failed: true }, afterMs: firstTokenMs };
  }
  const { betweenTokensMs } = route;
  const gap =
    betweenTokensMs === undefined
      ? {}
      : {
          betweenTokensMs:
            betweenTokensMs * slowdown * Math.exp(betweenTokensSigma * drawNormal(random)),
        };
  return {
    outcome: { ...common, failed: false, firstTokenMs, ...gap },
    afterMs: firstTokenMs + (betweenTokensMs === undefined ? 0 : random() * longestAnswerMs),
  };
};
