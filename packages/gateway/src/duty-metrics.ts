import type { Clock } from '@zinniagrade/clock';
import { Counter, Gauge, type Registry } from 'prom-client';
import type { DutyOutcome } from './duty-holder.js';

/** Counters and gauges of the duties that this node holds. */
export interface DutyMetrics {
  readonly recordChange: (subject: string, change: 'gained' | 'lost') => void;
  readonly recordAct: (subject: string, outcome: DutyOutcome) => void;
}

const msPerSecond = 1000;

export const DutyMetrics = {
  create: (clock: Clock, registry: Registry): DutyMetrics => {
    const registers = [registry];
    const lastActAtMs = new Map<string, number>();
    const changes = new Counter({
      name: 'zinniagrade_duty_changes_total',
      help: 'Subjects of duties that this node gained and lost.',
      labelNames: ['subject', 'change'],
      registers,
    });
    const acts = new Counter({
      name: 'zinniagrade_duty_acts_total',
      help: 'Calls of duties by outcome.',
      labelNames: ['subject', 'outcome'],
      registers,
    });
    const held = new Gauge({
      name: 'zinniagrade_duty_held',
      help: 'Whether this node holds a subject.',
      labelNames: ['subject'],
      registers,
    });
    new Gauge({
      name: 'zinniagrade_duty_last_act_age_seconds',
      help: 'Time since the last call of this node for a subject.',
      labelNames: ['subject'],
      registers,
      collect() {
        for (const [subject, atMs] of lastActAtMs) {
          this.set({ subject }, (clock.monotonicMs() - atMs) / msPerSecond);
        }
      },
    });
    return {
      recordChange: (subject, change) => {
        changes.inc({ subject, change });
        held.set({ subject }, change === 'gained' ? 1 : 0);
      },
      recordAct: (subject, outcome) => {
        acts.inc({ subject, outcome });
        lastActAtMs.set(subject, clock.monotonicMs());
      },
    };
  },
};
