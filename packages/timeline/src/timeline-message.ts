import type { HybridTime, TimelineEvent } from '@zinniagrade/types';
import { z } from 'zod';

/** Together with `maxEventBytes`, this keeps a frame below the size limit of `frames`. */
export const maxEventsPerFrame = 50;
export const maxEventBytes = 4096;

const hybridTime = z.strictObject({ wallMs: z.number(), counter: z.number() });

const timelineEvent: z.ZodType<TimelineEvent> = z.strictObject({
  time: hybridTime,
  process: z.string(),
  sequence: z.number(),
  name: z.string(),
  fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])),
});

/** Events sent by a process to the collector, or by the collector to a follower. */
export interface TimelineEvents {
  readonly kind: 'timeline-events';
  readonly events: readonly TimelineEvent[];
}

/** Confirms every event of the sender up to this sequence number. */
export interface TimelineAccepted {
  readonly kind: 'timeline-accepted';
  readonly sequence: number;
}

/** Subscribes to the kept events after the given time and to all new events. */
export interface TimelineFollow {
  readonly kind: 'timeline-follow';
  readonly after?: HybridTime | undefined;
}

export type TimelineMessage = TimelineEvents | TimelineAccepted | TimelineFollow;

const timelineMessage: z.ZodType<TimelineMessage> = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('timeline-events'),
    events: z.array(timelineEvent).max(maxEventsPerFrame),
  }),
  z.strictObject({ kind: z.literal('timeline-accepted'), sequence: z.number() }),
  z.strictObject({ kind: z.literal('timeline-follow'), after: hybridTime.optional() }),
]);

/** Returns `undefined` for anything that is not a valid timeline message. */
export const readTimelineMessage = (message: unknown): TimelineMessage | undefined => {
  const result = timelineMessage.safeParse(message);
  return result.success ? result.data : undefined;
};
