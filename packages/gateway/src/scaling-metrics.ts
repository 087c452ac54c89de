import { orderedCount } from '@zinniagrade/duties';
import { Gauge, type Registry } from 'prom-client';
import type { ScalingSubject } from './scaling-subject.js';

/** Gauges of the upstreams that are ordered, at all nodes that may order them. */
export interface ScalingMetrics {
  /** Exports the state of subjects, which is read whenever the metrics are. */
  readonly export: (read: () => readonly ScalingSubject[]) => void;
}

export const ScalingMetrics = {
  create: (registry: Registry): ScalingMetrics => ({
    export: (read) => {
      new Gauge({
        name: 'zinniagrade_ordered_upstreams',
        help: 'Upstreams by service and data centre: as ordered last, and as needed now.',
        labelNames: ['service', 'data_centre', 'kind'],
        registers: [registry],
        collect() {
          this.reset();
          for (const { service, dataCentre, state } of read()) {
            const labels = { service, data_centre: dataCentre };
            this.set({ ...labels, kind: 'ordered' }, orderedCount(state));
            this.set({ ...labels, kind: 'needed' }, state.observations.at(-1)?.needed ?? 0);
          }
        },
      });
    },
  }),
};
