import type { Random } from '@zinniagrade/clock';
import type { HostileFault } from './hostile-fault-plan.js';
import type { LinkFault } from './loopback-proxy.js';
import type { StartFault } from './start-fault-plan.js';

/**
 * A fault that begins at `atMs` after the start of the fault period and lasts `forMs`. `gateway`
 * and `worker` are indexes from 0.
 */
export type MixedFault = { readonly atMs: number; readonly forMs: number } & (
  | { readonly kind: 'kill' | 'terminate' | 'pause'; readonly gateway: number }
  | { readonly kind: 'store-link'; readonly gateway: number; readonly link: LinkFault }
  | { readonly kind: 'worker-link'; readonly worker: number; readonly link: LinkFault }
  | { readonly kind: 'store-away' | 'store-loses-replies' | 'store-forgets' }
  | { readonly kind: 'worker-leaves' | 'answers-lost' | 'errors'; readonly worker: number }
  | { readonly kind: StatementFaultKind; readonly worker: number }
  | { readonly kind: 'revoke' }
);

export type Fault = MixedFault | StartFault | HostileFault;

/** Faults of workers that say so in their responses, or whose streams end too early. */
export type StatementFaultKind = (typeof statementFaultKinds)[number];

export interface FaultPlanOptions {
  readonly gatewayCount: number;
  readonly workerCount: number;
  /** All faults begin within this period. */
  readonly faultPeriodMs: number;
}

const linkFaults: readonly LinkFault[] = ['delay', 'silent', 'one-way', 'reset'];
/** Faults during which gateways must still meet their timing bounds. */
const kindsWithoutExemption = [
  'store-forgets',
  'worker-leaves',
  'worker-leaves',
  'answers-lost',
  'errors',
  'revoke',
] as const;
const allKinds = [
  ...kindsWithoutExemption,
  'kill',
  'terminate',
  'pause',
  'store-link',
  'worker-link',
  'store-away',
  'store-loses-replies',
] as const;
/**
 * Leading share of the fault period in which only `kindsWithoutExemption` are drawn. With all kinds
 * throughout, gateways would be exempt from timing bounds most of the time.
 */
const shareWithoutExemption = 0.5;
/**
 * Mean time between the beginnings of two faults; shorter than most faults, so that they overlap.
 */
const meanIntervalMs = 600;
const minFaultMs = 150;
const maxFaultMs = 2500;
/** Share of faults that are repeated on the same target `minFaultMs` after they end. */
const repeatShare = 0.25;

const statementFaultKinds = ['worker-refuses', 'worker-states-leaving', 'streams-cut'] as const;
const meanStatementIntervalMs = 2000;

/**
 * Draws faults of `statementFaultKinds`. They have a sequence of their own, so that a seed of
 * `planFaults` gives the same plan as before these kinds existed.
 */
export const planStatementFaults = (
  random: Random,
  { workerCount, faultPeriodMs }: FaultPlanOptions,
): readonly MixedFault[] => {
  const faults: MixedFault[] = [];
  let atMs = meanStatementIntervalMs * random();
  while (atMs < faultPeriodMs) {
    const kind = statementFaultKinds[Math.floor(random() * statementFaultKinds.length)];
    if (kind !== undefined) {
      const forMs = minFaultMs + random() * (maxFaultMs - minFaultMs);
      faults.push({ atMs, forMs, kind, worker: Math.floor(random() * workerCount) });
    }
    atMs += random() * 2 * meanStatementIntervalMs;
  }
  return faults;
};

/** Draws overlapping and repeated faults. The same random sequence gives the same plan. */
export const planFaults = (random: Random, options: FaultPlanOptions): readonly MixedFault[] => {
  const faults: MixedFault[] = [];
  const pick = <Value>(values: readonly Value[]): Value => {
    const value = values[Math.floor(random() * values.length)];
    if (value === undefined) {
      throw new Error('cannot pick from an empty list');
    }
    return value;
  };
  const drawFault = (atMs: number): MixedFault => {
    const interval = { atMs, forMs: minFaultMs + random() * (maxFaultMs - minFaultMs) };
    const gateway = Math.floor(random() * options.gatewayCount);
    const worker = Math.floor(random() * options.workerCount);
    const kind =
      atMs < shareWithoutExemption * options.faultPeriodMs
        ? pick(kindsWithoutExemption)
        : pick(allKinds);
    switch (kind) {
      case 'kill':
      case 'terminate':
      case 'pause':
        return { ...interval, kind, gateway };
      case 'store-link':
        return { ...interval, kind, gateway, link: pick(linkFaults) };
      case 'worker-link':
        return { ...interval, kind, worker, link: pick(linkFaults) };
      case 'worker-leaves':
      case 'answers-lost':
      case 'errors':
        return { ...interval, kind, worker };
      default:
        return { ...interval, kind };
    }
  };
  let atMs = meanIntervalMs;
  while (atMs < options.faultPeriodMs) {
    const fault = drawFault(atMs);
    faults.push(fault);
    if (random() < repeatShare) {
      faults.push({ ...fault, atMs: atMs + fault.forMs + minFaultMs });
    }
    atMs += random() * 2 * meanIntervalMs;
  }
  return faults.filter((fault) => fault.atMs < options.faultPeriodMs);
};
