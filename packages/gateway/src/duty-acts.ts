import type { DutyClient, DutyOutcome, RecordingDutyHolder } from './duty-holder.js';
import type { DutyMetrics } from './duty-metrics.js';
import type { Log, LogFields } from './log.js';

/** All usage windows together are one subject. */
export const usageSubject = 'usage';

/** The subject of the orders for a service in a data centre. */
export const scaleSubject = (service: string, dataCentre: string): string =>
  `scale/${encodeURIComponent(service)}/${encodeURIComponent(dataCentre)}`;

/** Logs and counts each call of a client, and tells the holder of its outcome. */
export const recordActs = (
  client: DutyClient,
  holder: RecordingDutyHolder,
  log: Log,
  metrics: DutyMetrics,
): DutyClient => {
  const record = (
    subject: string,
    token: number,
    outcome: DutyOutcome,
    fields: LogFields,
  ): DutyOutcome => {
    log.event('duty act', { subject, token, outcome, ...fields });
    metrics.recordAct(subject, outcome);
    holder.recordAct(subject, outcome);
    return outcome;
  };
  return {
    reportUsage: async (grant, window, counts) => {
      const outcome = await client.reportUsage(grant, window, counts);
      return record(usageSubject, grant.token, outcome, { window, accounts: counts.size });
    },
    orderUpstreams: async (grant, order) => {
      const outcome = await client.orderUpstreams(grant, order);
      const subject = scaleSubject(order.service, order.dataCentre);
      return record(subject, grant.token, outcome, { count: order.count });
    },
    close: client.close,
  };
};
