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
  /** Expected memory at the end of the stream, after this many events. */
  readonly expectedTokens: (events: number) => number;
  /** Whether the stream may begin now, and where. */
  readonly admit: (without: ReadonlySet<string>, limits: AdmissionLimits) => Admission;
  /** The best engine but for some; with a data centre, one that memory is copied to from there. */
  readonly place: (
    without: ReadonlySet<string>,
    events: number,
    near?: string,
  ) => FleetMember | undefined;
  /** An engine that stays below a memory share with a copy; undefined where a copy doesn't pay. */
  readonly placeCopy: (
    without: ReadonlySet<string>,
    events: number,
    maxMemoryShare: number,
    near?: string,
  ) => FleetMember | undefined;
}

/** Copies between data centres take twice as long. */
const farCopyMs = 200;
/** Bytes between data centres cost more; a stream that begins later than it could costs most. */
const farStartMs = 40;
/** Output that is expected of a request without a hint, as a share of its limit. */
const defaultOutputShare = 0.5;
/** Shorter outputs are over before a copy would pay. */
const minCopiedOutputTokens = 48;
/** No copies are begun where running requests need more than this share of all engines. */
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
    const { view, clock, random } = context;
    const promptTokens = call.request.prompt?.promptTokens ?? 0;
    const outputTokens = expectedOutput(call);

    const needAfter = (events: number): GenerationNeed => ({
      promptTokens,
      outputTokens: Math.max(outputTokens, events * engine.tokensPerEvent),
    });

    const choice = (
      excluded: ReadonlySet<string>,
      near: PlacementConstraints['locality'],
    ): PlacementConstraints => ({
      nowMs: clock.monotonicMs(),
      excludedUpstreams: excluded,
      withdrawnDataCentres: view.withdrawn,
      allows: (member) => context.allows(member) && call.permits(member),
      peerUse: context.peerUse,
      ...(near === undefined ? {} : { locality: near }),
    });

    const nearTo = (dataCentre: string | undefined): PlacementConstraints['locality'] =>
      dataCentre === undefined ? undefined : { dataCentre, remotePenaltyMs: farCopyMs };

    const place: StreamPlacement['place'] = (without, events, near) =>
      placeGeneration(
        view.fleet.ofService(call.service.name),
        needAfter(events),
        engine.memoryTokens,
        choice(without, nearTo(near)),
        random,
      );

    return {
      promptTokens,
      expectedTokens: (events) => promptTokens + needAfter(events).outputTokens,
      admit: (without, limits) =>
        admitGeneration(
          view.fleet.ofService(call.service.name),
          needAfter(0),
          engine.memoryTokens,
          choice(without, { dataCentre: context.dataCentre, remotePenaltyMs: farStartMs }),
          limits,
          random,
        ),
      place,
      placeCopy: (without, events, maxMemoryShare, near) => {
        if (outputTokens < minCopiedOutputTokens) {
          return undefined;
        }
        const holder = place(without, events, near);
        if (holder === undefined) {
          return undefined;
        }
        const limits = choice(without, nearTo(near));
        const members = view.fleet.ofService(call.service.name);
        const share = memoryShare(holder, needAfter(events), engine.memoryTokens, limits);
        return share < maxMemoryShare &&
          runningMemoryShare(members, engine.memoryTokens, limits) < maxRunningShare
          ? holder
          : undefined;
      },
    };
  },
};
