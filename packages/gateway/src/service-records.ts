import {
  Departures,
  RetryAfterSchedule,
  RetryBudget,
  StatedTimeouts,
  type RetryBudgetBounds,
} from '@zinniagrade/serving';

/** What this node learns of one service while it serves its requests. */
export interface ServiceRecord {
  readonly budget: RetryBudget;
  readonly departures: Departures;
  readonly returnTimes: RetryAfterSchedule;
  readonly statedWaits: StatedTimeouts;
}

/** The records of all services, by name. */
export interface ServiceRecords {
  readonly of: (service: string) => ServiceRecord;
  /** Begins new budgets with changed bounds; what was learned of engines stays. */
  readonly rebound: (bounds: RetryBudgetBounds) => void;
}

export const ServiceRecords = {
  create: (firstBounds: RetryBudgetBounds): ServiceRecords => {
    const records = new Map<string, ServiceRecord>();
    let bounds = firstBounds;
    return {
      of: (service) => {
        const known = records.get(service);
        if (known !== undefined) {
          return known;
        }
        const record = {
          budget: RetryBudget.create(bounds),
          departures: Departures.create(),
          returnTimes: RetryAfterSchedule.create(),
          statedWaits: StatedTimeouts.create(),
        };
        records.set(service, record);
        return record;
      },
      rebound: (next) => {
        bounds = next;
        for (const [service, record] of records) {
          records.set(service, { ...record, budget: RetryBudget.create(next) });
        }
      },
    };
  },
};
