import type { PromisedReturns, UrgentNeed, WaitingRequest } from '@zinniagrade/serving';
import { z } from 'zod';
import type { RowFields } from './peer-topics.js';

/** A request that waits at this node until a time at the latest. */
export interface WaitingHere {
  readonly request: WaitingRequest;
  readonly waitUntilMs: number;
}

/** Later ones have others before them at every node. */
const maxSharedRequests = 8;

const amount = z.number().min(0).max(1e9);
/** Fields after those known are of a later version. */
export const waitingRow = z.tuple([
  z.literal('waiting'),
  z.string(),
  z.array(z.tuple([z.number(), z.boolean(), amount, amount, amount, z.string()]).rest(z.unknown())),
]);
export const needsRow = z.tuple([
  z.literal('needs'),
  z.string(),
  z.array(z.tuple([z.number(), amount, amount, amount]).rest(z.unknown())),
]);

export const promisedRow = z.tuple([
  z.literal('promised'),
  z.string(),
  z.array(z.tuple([z.number(), amount, amount]).rest(z.unknown())),
]);

export const toWaitingRow = (
  service: string,
  waiting: readonly WaitingHere[],
  nowMs: number,
): RowFields => [
  'waiting',
  service,
  waiting.slice(0, maxSharedRequests).map(({ request, waitUntilMs }) => {
    const leftMs = Math.max(0, Math.round(request.deadlineAtMs - nowMs));
    const waitLeftMs = Math.max(0, Math.round(waitUntilMs - nowMs));
    const tokens = Math.round(request.tokens);
    return [request.priority, request.isReturn, tokens, leftMs, waitLeftMs, request.account];
  }),
];

export const toNeedsRow = (service: string, needs: readonly UrgentNeed[]): RowFields => [
  'needs',
  service,
  needs.map(({ priority, tokens, tokensEach, tokensPerMs }) => [
    ...[priority, Math.round(tokens), tokensEach, Number(tokensPerMs.toPrecision(3))],
  ]),
];

export const toPromisedRow = (service: string, promised: readonly PromisedReturns[]): RowFields => [
  'promised',
  service,
  promised.map(({ priority, tokens, withinMs }) => [
    priority,
    Math.round(tokens),
    Math.round(withinMs),
  ]),
];
