import {
  memoryShare,
  placeGeneration,
  runningShare,
  type Choice,
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
  /** The best engine but for some; with a data centre, one that memory is copied to from there. */
  readonly place: (
    without: ReadonlySet<string>,
    events: number,
    near?: string,
  ) => FleetMember | undefined;
  /** Whether the engine has memory for the whole request. */
  readonly fits: (member: FleetMember, events: number) => boolean;
  /** An engine that stays below a memory share with a copy; undefined where a copy doesn't pay. */
  readonly placeCopy: (
    without: ReadonlySet<string>,
    events: number,
    maxMemoryShare: number,
    near?: string,
  ) => FleetMember | undefined;
}

/** Output that is expected of a request without a hint, as a share of its limit. */
const defaultOutputShare = 0.5;
/** Shorter outputs are over before a copy would pay. */
const minCopiedOutputTokens = 48;
/** No copies are begun where running requests need more than this share of all engines. */
const maxRunningShare = 0.7;
/** Engines fuller than this preempt requests, as lengths are only estimates. */
const maxFilledShare = 1;
const nothing: ReadonlySet<string> = new Set();

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

    const choice = (excluded: ReadonlySet<string>, near: string | undefined): Choice => ({
      nowMs: clock.monotonicMs(),
      excluded,
      withdrawn: view.withdrawn,
      allows: context.allows,
      peerUse: context.peerUse,
      ...(near === undefined ? {} : { near }),
    });

    const place: StreamPlacement['place'] = (without, events, near) =>
      placeGeneration(
        view.fleet.ofService(call.service.name),
        needAfter(events),
        engine.memoryTokens,
        choice(without, near),
        random,
      );

    return {
      promptTokens,
      expectedTokens: (events) => promptTokens + needAfter(events).outputTokens,
      place,
      fits: (member, events) =>
        memoryShare(member, needAfter(events), engine.memoryTokens, choice(nothing, undefined)) <
        maxFilledShare,
      placeCopy: (without, events, maxMemoryShare, near) => {
        if (outputTokens < minCopiedOutputTokens) {
          return undefined;
        }
        const holder = place(without, events, near);
        if (holder === undefined) {
          return undefined;
        }
        const limits = choice(without, near);
        const members = view.fleet.ofService(call.service.name);
        const share = memoryShare(holder, needAfter(events), engine.memoryTokens, limits);
        return share < maxMemoryShare &&
          runningShare(members, engine.memoryTokens, limits) < maxRunningShare
          ? holder
          : undefined;
      },
    };
  },
};
