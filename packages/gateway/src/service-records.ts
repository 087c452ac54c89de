import {
  BatchSlowdown,
  Departures,
  PlacementRate,
  RetryAfterSchedule,
  RetryBudget,
  StatedTimeouts,
  type RetryBudgetBounds,
} from '@zinniagrade/serving';

/** Retry budget and statistics of one service, from the requests that this node serves. */
export interface ServiceRecord {
  readonly budget: RetryBudget;
  readonly departures: Departures;
  readonly slowdown: BatchSlowdown;
  readonly placements: PlacementRate;
  readonly returnTimes: RetryAfterSchedule;
  readonly statedWaits: StatedTimeouts;
}

/** Records of all services by name, created on first use. */
export interface ServiceRecords {
  readonly get: (service: string) => ServiceRecord;
  /** Replaces the retry budgets after their bounds changed; keeps the statistics. */
  readonly resetBudgets: (bounds: RetryBudgetBounds) => void;
}

export const ServiceRecords = {
  create: (initialBounds: RetryBudgetBounds): ServiceRecords => {
    const records = new Map<string, ServiceRecord>();
    let bounds = initialBounds;
    return {
      get: (service) => {
        const known = records.get(service);
        if (known !== undefined) {
          return known;
        }
        const record = {
          budget: RetryBudget.create(bounds),
          departures: Departures.create(),
          slowdown: BatchSlowdown.create(),
          placements: PlacementRate.create(),
          returnTimes: RetryAfterSchedule.create(),
          statedWaits: StatedTimeouts.create(),
        };
        records.set(service, record);
        return record;
      },
      resetBudgets: (next) => {
        bounds = next;
        for (const [service, record] of records) {
          records.set(service, { ...record, budget: RetryBudget.create(next) });
        }
      },
    };
  },
};
