import { requestJson } from '@zinniagrade/proofs';
import type { Demo } from './steps.js';

interface ServiceRun {
  readonly operation: string;
  readonly arguments: { readonly order?: string };
}

const countRuns = async ({ system }: Demo): Promise<ReadonlyMap<string, number>> => {
  const counts = new Map<string, number>();
  for (const { child, upstream } of system.upstreams.values()) {
    if (upstream.kind !== 'plain') {
      continue;
    }
    const { runs } = await requestJson<{ runs: readonly ServiceRun[] }>(
      child.ready.port ?? 0,
      '/runs',
    );
    for (const { operation, arguments: callArguments } of runs) {
      if (operation === 'issue' && callArguments.order !== undefined) {
        counts.set(callArguments.order, (counts.get(callArguments.order) ?? 0) + 1);
      }
    }
  }
  return counts;
};

/** Checks the promises that must hold for all requests of the demo. */
export const checkLoadResults = async (demo: Demo): Promise<void> => {
  const { reporter, load } = demo;
  const reports = load.generations.filter(({ service }) => service === 'condition-reports');
  const complete = reports.filter(({ error }) => error === undefined);
  const corrupted = complete.filter(({ hasAllTokensInOrder }) => !hasAllTokensInOrder).length;
  const lost = reports.filter(({ error, tokensSeen }) => error !== undefined && tokensSeen > 0);
  const refused = reports.length - complete.length - lost.length;
  reporter.check(
    'tokens-once-in-order',
    corrupted === 0 && lost.length === 0,
    `${complete.length - corrupted} of ${reports.length} Condition Reports whole and once, ` +
      `${lost.length} lost, ${refused} refused`,
  );
  const calls = [...load.lookups, ...load.creditNotes];
  const crossed = calls.filter(({ isCrossed }) => isCrossed).length;
  reporter.check(
    'whole-answer-to-own-request',
    crossed === 0,
    `${crossed} crossed of ${calls.length}`,
  );
  const answered = load.lookups.filter(
    ({ executionStatus }) => executionStatus === 'answered',
  ).length;
  reporter.print(`${answered} of ${load.lookups.length} Status Lookups were answered`);
  const runs = await countRuns(demo);
  const twice = [...runs.values()].filter((count) => count > 1).length;
  const notes = load.creditNotes;
  const unknown = notes.filter(({ executionStatus }) => executionStatus === 'unknown').length;
  reporter.check(
    'at-most-once',
    twice === 0,
    `${twice} of ${notes.length} Credit Notes ran twice; the outcome of ${unknown} is unknown`,
  );
  const wrongAnswers = notes.filter(
    ({ order, executionStatus }) =>
      (executionStatus === 'not-run' && runs.has(order)) ||
      (executionStatus === 'answered' && !runs.has(order)),
  ).length;
  const notRun = notes.filter(({ executionStatus }) => executionStatus === 'not-run').length;
  reporter.check(
    'not-run-is-true',
    wrongAnswers === 0,
    `${notRun} Credit Notes were refused as not run, ${wrongAnswers} answers were wrong`,
  );
};
