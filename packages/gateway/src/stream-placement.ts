import {
  admitGeneration,
  memoryShare,
  placeGeneration,
  runningMemoryShare,
  type Admission,
  type AdmissionLimits,
  type PlacementConstraints,
  type Engine,
  type FleetMember,
  type GenerationNeed,
} from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';

/** Chooses engines for one stream and for copies of it. */
export interface StreamPlacement {
  readonly promptTokens: number;
  /** Expected memory at the end of the stream, given the number of events so far. */
  readonly expectedTokens: (events: number) => number;
  /** Decides whether the stream may start now, and at which engine. */
  readonly admit: (excluded: ReadonlySet<string>, limits: AdmissionLimits) => Admission;
  /**
   * The best engine that isn't excluded; `near` is the data centre that memory would be copied
   * from.
   */
  readonly place: (
    excluded: ReadonlySet<string>,
    events: number,
    near?: string,
  ) => FleetMember | undefined;
  /**
   * An engine whose memory share stays below the maximum with a copy; undefined if a copy isn't
   * worth it.
   */
  readonly placeCopy: (
    excluded: ReadonlySet<string>,
    events: number,
    maxMemoryShare: number,
    near?: string,
  ) => FleetMember | undefined;
}

/** Penalty for a copy to another data centre, which takes twice as long. */
const remoteCopyPenaltyMs = 200;
/**
 * Penalty for a start in another data centre: traffic between them costs more, but a late start
 * costs most.
 */
const remoteStartPenaltyMs = 40;
/** Expected output of a request without a hint, as a share of its limit. */
const defaultOutputShare = 0.5;
/** Shorter outputs complete before a copy would be worth it. */
const minCopiedOutputTokens = 48;
/** Shorter outputs have too few events for the speed of their engine to matter. */
const minPausedOutputTokens = 48;
/** No copies are started if running requests need more than this share of all engines' memory. */
const maxRunningShare = 0.7;

const expectedOutput = (call: Call): number => {
  const { prompt } = call.request;
  if (prompt === undefined) {
    return 0;
  }
  const hinted = prompt.hintedOutputTokens ?? prompt.maxOutputTokens * defaultOutputShare;
  return Math.min(prompt.maxOutputTokens, hinted);
};

export const StreamPlacement = {
  create: (context: ServingContext, call: Call, engine: Engine): StreamPlacement => {
    const { cluster, clock, random } = context;
    const promptTokens = call.request.prompt?.promptTokens ?? 0;
    const outputTokens = expectedOutput(call);
    const pauseGoal: PlacementConstraints['pauseGoal'] =
      outputTokens < minPausedOutputTokens
        ? undefined
        : {
            gapGoalMs: call.route.gapGoalMs,
            tokensPerEvent: engine.tokensPerEvent,
            slowdown: context.recordOf(call.service.name).slowdown,
          };

    const expectedNeed = (events: number): GenerationNeed => ({
      promptTokens,
      outputTokens: Math.max(outputTokens, events * engine.tokensPerEvent),
    });

    const choice = (
      excluded: ReadonlySet<string>,
      near: PlacementConstraints['locality'],
    ): PlacementConstraints => ({
      nowMs: clock.monotonicMs(),
      excludedUpstreams: excluded,
      withdrawnDataCentres: cluster.withdrawn,
      allows: (member) => context.isWithinRateLimits(member) && call.allowsVersionOf(member),
      peerUse: context.peerUse,
      unknownPlacements: context.unknownPlacements(call.service.name),
      ...(near === undefined ? {} : { locality: near }),
      ...(pauseGoal === undefined ? {} : { pauseGoal }),
    });

    const preferDataCentre = (dataCentre: string | undefined): PlacementConstraints['locality'] =>
      dataCentre === undefined ? undefined : { dataCentre, remotePenaltyMs: remoteCopyPenaltyMs };

    const place: StreamPlacement['place'] = (excluded, events, near) =>
      placeGeneration(
        cluster.fleet.ofService(call.service.name),
        expectedNeed(events),
        engine.memoryTokens,
        choice(excluded, preferDataCentre(near)),
        random,
      );

    return {
      promptTokens,
      expectedTokens: (events) => promptTokens + expectedNeed(events).outputTokens,
      admit: (excluded, limits) =>
        admitGeneration(
          cluster.fleet.ofService(call.service.name),
          expectedNeed(0),
          engine.memoryTokens,
          choice(excluded, {
            dataCentre: context.dataCentre,
            remotePenaltyMs: remoteStartPenaltyMs,
          }),
          limits,
          random,
        ),
      place,
      placeCopy: (excluded, events, maxMemoryShare, near) => {
        if (outputTokens < minCopiedOutputTokens) {
          return undefined;
        }
        const holder = place(excluded, events, near);
        if (holder === undefined) {
          return undefined;
        }
        const limits = choice(excluded, preferDataCentre(near));
        const members = cluster.fleet.ofService(call.service.name);
        const share = memoryShare(holder, expectedNeed(events), engine.memoryTokens, limits);
        return share < maxMemoryShare &&
          runningMemoryShare(members, engine.memoryTokens, limits) < maxRunningShare
          ? holder
          : undefined;
      },
    };
  },
};
