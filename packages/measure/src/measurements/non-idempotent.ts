import type { CallFaults, CallSimulationOutcome } from '../call-simulation/index.js';
import { runCallSimulation } from '../call-simulation/index.js';
import type { Figures, Measurement } from '../measurement.js';

const callsPerRun = 400;

/** Each kind of fault alone, and all of them together. */
const faultCases: Readonly<Record<string, CallFaults>> = {
  'lost-replies': { lostReplyShare: 0.1, lostStoreReplyShare: 0.1 },
  'late-runs': { lateRunShare: 0.1 },
  'refused-and-unreachable': { refusedShare: 0.2, unreachableShare: 0.2 },
  kills: { kills: 6 },
  freezes: { freezes: 6 },
  repeats: { repeatShare: 0.5 },
  'store-outage': { storeOutage: { fromMs: 2_000, toMs: 7_000 }, repeatShare: 0.2 },
  together: {
    ...{ lostReplyShare: 0.05, lostStoreReplyShare: 0.1, lateRunShare: 0.05, resetShare: 0.05 },
    ...{ refusedShare: 0.1, unreachableShare: 0.1, lostForwardShare: 0.1, repeatShare: 0.3 },
    ...{ kills: 4, freezes: 4, storeOutage: { fromMs: 2_000, toMs: 7_000 } },
  },
};

const ratio = (part: number, whole: number): number => (whole === 0 ? 0 : part / whole);

const outageFiguresOf = (outcome: CallSimulationOutcome): Figures => ({
  ticket_calls_answered_in_store_outage_share: ratio(
    outcome.outageTicketAnswered,
    outcome.outageTicketCalls,
  ),
  chosen_key_calls_answered_in_store_outage_share: ratio(
    outcome.outageChosenKeyAnswered,
    outcome.outageChosenKeyCalls,
  ),
});

const figuresOf = (history: string, outcome: CallSimulationOutcome): Figures => ({
  history,
  calls_count: outcome.calls,
  answered_share: ratio(outcome.answered, outcome.calls),
  run_more_than_once_count: outcome.duplicateExecutions,
  not_run_though_it_ran_count: outcome.falselyReportedNotRun,
  ...(outcome.outageTicketCalls === 0 ? {} : outageFiguresOf(outcome)),
});

/**
 * Non-idempotent calls through 4 nodes to 3 upstreams on a virtual clock. Half of the calls use
 * tickets, the other half idempotency keys chosen by the caller.
 */
export const measurement: Measurement = {
  name: 'non-idempotent',
  policies: ['naive', 'current'],
  defaultSeeds: 10,
  run: async ({ seed, policy }) => {
    const rows: Figures[] = [];
    for (const [history, faults] of Object.entries(faultCases)) {
      // This measurement does not support the oracle policy.
      const simulatedPolicy = policy === 'naive' ? 'naive' : 'current';
      const options = { seed, policy: simulatedPolicy, faults, calls: callsPerRun } as const;
      rows.push(figuresOf(history, await runCallSimulation(options)));
    }
    return rows;
  },
};
