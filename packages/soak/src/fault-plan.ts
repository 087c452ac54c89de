import type { Random } from '@zinniagrade/clock';
import type { LinkFault } from './loopback-proxy.js';

/** A fault that begins at `atMs` and ends `forMs` later. Indexes count from 0. */
export type Fault = { readonly atMs: number; readonly forMs: number } & (
  | { readonly kind: 'kill' | 'terminate' | 'pause'; readonly gateway: number }
  | { readonly kind: 'store-link'; readonly gateway: number; readonly link: LinkFault }
  | { readonly kind: 'worker-link'; readonly worker: number; readonly link: LinkFault }
  | { readonly kind: 'store-away' | 'store-loses-replies' | 'store-forgets' }
  | { readonly kind: 'worker-leaves' | 'answers-lost' | 'errors'; readonly worker: number }
  | { readonly kind: 'revoke' }
);

export interface FaultPlanOptions {
  readonly gateways: number;
  readonly workers: number;
  /** Faults begin within this time. */
  readonly lengthMs: number;
}

const links: readonly LinkFault[] = ['delay', 'silent', 'one-way', 'reset'];
/** Faults during which gateways are held to their bounds on time. */
const calmKinds = [
  'store-forgets',
  'worker-leaves',
  'worker-leaves',
  'answers-lost',
  'errors',
  'revoke',
] as const;
const kinds = [
  ...calmKinds,
  'kill',
  'terminate',
  'pause',
  'store-link',
  'worker-link',
  'store-away',
  'store-loses-replies',
] as const;
/** Part of the time with only such faults; otherwise hardly any bound on time would count. */
const calmShare = 0.5;
/** Mean time between the beginnings of faults; they overlap. */
const meanPauseMs = 600;
const shortestMs = 150;
const longestMs = 2500;
/** Share of faults that strike the same place again at once. */
const againShare = 0.25;

/** Draws faults that come in series and overlap. The same seed gives the same plan. */
export const planFaults = (random: Random, options: FaultPlanOptions): readonly Fault[] => {
  const faults: Fault[] = [];
  const pick = <Value>(values: readonly Value[]): Value => {
    const value = values[Math.floor(random() * values.length)];
    if (value === undefined) {
      throw new Error('nothing to pick from');
    }
    return value;
  };
  const draw = (atMs: number): Fault => {
    const time = { atMs, forMs: shortestMs + random() * (longestMs - shortestMs) };
    const gateway = Math.floor(random() * options.gateways);
    const worker = Math.floor(random() * options.workers);
    const kind = atMs < calmShare * options.lengthMs ? pick(calmKinds) : pick(kinds);
    switch (kind) {
      case 'kill':
      case 'terminate':
      case 'pause':
        return { ...time, kind, gateway };
      case 'store-link':
        return { ...time, kind, gateway, link: pick(links) };
      case 'worker-link':
        return { ...time, kind, worker, link: pick(links) };
      case 'worker-leaves':
      case 'answers-lost':
      case 'errors':
        return { ...time, kind, worker };
      default:
        return { ...time, kind };
    }
  };
  let atMs = meanPauseMs;
  while (atMs < options.lengthMs) {
    const fault = draw(atMs);
    faults.push(fault);
    if (random() < againShare) {
      faults.push({ ...fault, atMs: atMs + fault.forMs + shortestMs });
    }
    atMs += random() * 2 * meanPauseMs;
  }
  return faults.filter((fault) => fault.atMs < options.lengthMs);
};
