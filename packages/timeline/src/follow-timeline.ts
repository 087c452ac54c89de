import type { Failure } from '@zinniagrade/errors';
import { connectFrames } from '@zinniagrade/frames';
import type { HybridTime, TimelineEvent } from '@zinniagrade/types';
import type { CollectorAddress } from './event-sender.js';
import { readTimelineMessage, type TimelineFollow } from './timeline-message.js';

export interface FollowTimelineOptions {
  readonly address: CollectorAddress;
  readonly secret: string;
  /** Name of the following process. */
  readonly name: string;
  /** Kept events up to this time are skipped. */
  readonly after?: HybridTime | undefined;
  readonly onEvent: (event: TimelineEvent) => void;
  /** Called once, even if the collector was never reached. */
  readonly onClose: (failure?: Failure) => void;
}

/**
 * Subscribes to the timeline: the kept events in order, then new events as the collector releases
 * them.
 */
export const followTimeline = (options: FollowTimelineOptions): { readonly close: () => void } =>
  connectFrames(
    options.address,
    { secret: options.secret, name: options.name },
    {
      onOpen: (connection) => {
        const follow: TimelineFollow =
          options.after === undefined
            ? { kind: 'timeline-follow' }
            : { kind: 'timeline-follow', after: options.after };
        connection.send(follow);
      },
      onMessage: (_, message) => {
        const timelineMessage = readTimelineMessage(message);
        for (const event of timelineMessage?.kind === 'timeline-events'
          ? timelineMessage.events
          : []) {
          options.onEvent(event);
        }
      },
      onClose: (_, failure) => {
        options.onClose(failure);
      },
    },
  );
