import { agedValue, type Figure, type FigureKind } from './figure.js';
import type { FleetMember } from './fleet.js';

/** Sets what decisions read to what has been measured. */
export const applyFigures = (member: FleetMember, nowMs: number): void => {
  member.msPerPromptToken = member.figures.figure('msPerPromptToken')?.value ?? 0;
  member.latencyMs = member.figures.figure('latencyMs')?.value ?? 0;
  member.failureShare = agedValue(member.figures.figure('failureShare'), 0, nowMs);
};

/** A response as the node that sent the request has seen it. */
export interface ObservedAnswer {
  readonly latencyMs: number;
  readonly failed: boolean;
  /** Whether the upstream itself has answered; a lost connection may be due to the node's network. */
  readonly isOfUpstream: boolean;
}

/** Updates the smoothed latency and failure share with one response. */
export const recordAnswer = (member: FleetMember, answer: ObservedAnswer, nowMs: number): void => {
  const { latencyMs, failed, isOfUpstream } = answer;
  member.figures.observe('failureShare', failed ? 1 : 0, nowMs, isOfUpstream);
  if (!failed) {
    member.figures.observe('latencyMs', latencyMs, nowMs, isOfUpstream);
  }
  applyFigures(member, nowMs);
};

/**
 * Records that a response takes longer than this. A slow upstream may never be seen to answer, as a
 * hedge answers before it.
 */
export const recordUnanswered = (member: FleetMember, waitedMs: number, nowMs: number): void => {
  if (waitedMs > member.latencyMs) {
    member.figures.observe('latencyMs', waitedMs, nowMs, true);
    applyFigures(member, nowMs);
  }
};

/** Updates the smoothed time per prompt token, from which times to first event are predicted. */
export const recordFirstEvent = (
  member: FleetMember,
  tookMs: number,
  tokensAhead: number,
  nowMs: number,
): void => {
  if (tokensAhead > 0) {
    member.figures.observe('msPerPromptToken', tookMs / tokensAhead, nowMs, true);
    applyFigures(member, nowMs);
  }
};

/** Adds what another node has measured; `isMerged` if that node passes on what many have. */
export const receiveFigure = (
  member: FleetMember,
  kind: FigureKind,
  figure: Figure,
  isMerged: boolean,
  nowMs: number,
): void => {
  if (isMerged) {
    member.figures.adopt(kind, figure, nowMs);
  } else {
    member.figures.receive(kind, figure, nowMs);
  }
  applyFigures(member, nowMs);
};

/** Mean of the figures of a kind, without those that are not measured; 0 if none is. */
const meanFigure = (members: readonly FleetMember[], kind: FigureKind): number => {
  let sum = 0;
  let measured = 0;
  for (const { figures } of members) {
    const figure = figures.figure(kind);
    sum += figure?.value ?? 0;
    measured += figure === undefined ? 0 : 1;
  }
  return sum / Math.max(1, measured);
};

/** Sets what decisions read of the upstreams of one service to their figures at this age. */
export const ageFigures = (members: readonly FleetMember[], nowMs: number): void => {
  const typicalMsPerToken = meanFigure(members, 'msPerPromptToken');
  const typicalLatencyMs = meanFigure(members, 'latencyMs');
  for (const member of members) {
    const { figures } = member;
    const msPerToken = figures.figure('msPerPromptToken');
    const latency = figures.figure('latencyMs');
    member.msPerPromptToken =
      msPerToken === undefined ? 0 : agedValue(msPerToken, typicalMsPerToken, nowMs);
    member.latencyMs = latency === undefined ? 0 : agedValue(latency, typicalLatencyMs, nowMs);
    member.failureShare = agedValue(figures.figure('failureShare'), 0, nowMs);
  }
};
