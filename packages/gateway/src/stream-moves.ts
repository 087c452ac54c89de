import type { FleetMember } from '@zinniagrade/serving';
import type { ServingContext } from './call.js';
import type { OpenStream } from './open-stream.js';

/** Moves streams away from engines that leave. */
export interface StreamMoves {
  readonly add: (stream: OpenStream) => void;
  readonly remove: (stream: OpenStream) => void;
  /** Starts moves from engines that are leaving and have none under way. */
  readonly check: () => void;
}

/** Copies share the engine's link, so more at once would all arrive later. */
const maxMovesPerEngine = 16;

/** Engines that leave together are all known before the first move chooses where to go. */
const gatherMs = 12;

/** What is lost with the stream: long ones have cost most and are worth most. */
const mostLostFirst = (a: OpenStream, b: OpenStream): number =>
  b.expectedTokens() - a.expectedTokens();

/**
 * Load pattern: all nodes learn at once that an engine leaves, and would choose the same engine for
 * its streams. They act in turns, so that each knows what those before it have moved.
 */
export const StreamMoves = {
  create: (context: ServingContext): StreamMoves => {
    const streams = new Set<OpenStream>();
    const moving = new Map<string, number>();
    let scheduled = false;

    const hasToLeave = (member: FleetMember | undefined): boolean =>
      member !== undefined && (member.leaving || context.rollouts.isSuperseded(member));

    const begin = (stream: OpenStream, member: FleetMember): void => {
      const { id } = member.upstream;
      moving.set(id, (moving.get(id) ?? 0) + 1);
      const done = (): void => {
        moving.set(id, (moving.get(id) ?? 1) - 1);
        check();
      };
      stream.move('engine is leaving').then(done, (error: unknown) => {
        context.log.event('move failed', { request: stream.requestId, reason: String(error) });
        done();
      });
    };

    const checkNow = (): void => {
      scheduled = false;
      const leaving = [...streams].filter((stream) => hasToLeave(stream.member()));
      for (const stream of leaving.sort(mostLostFirst)) {
        const member = stream.member();
        if (member === undefined || !stream.isMovable()) {
          continue;
        }
        if ((moving.get(member.upstream.id) ?? 0) < maxMovesPerEngine) {
          begin(stream, member);
        }
      }
    };

    const check = (): void => {
      if (!scheduled) {
        scheduled = true;
        context.clock.after(gatherMs + context.turnMs(), checkNow);
      }
    };

    return {
      add: (stream) => {
        streams.add(stream);
      },
      remove: (stream) => {
        streams.delete(stream);
      },
      check,
    };
  },
};
