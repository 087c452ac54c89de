import type { FleetMember } from '@zinniagrade/serving';
import type { ServingContext } from './call.js';
import type { OpenStream } from './open-stream.js';

/** Moves streams off engines that are leaving or whose version is superseded. */
export interface EngineDrainer {
  readonly add: (stream: OpenStream) => void;
  readonly remove: (stream: OpenStream) => void;
  /** Schedules a check that starts moves of streams that have to leave their engine. */
  readonly scheduleCheck: () => void;
}

/**
 * Concurrent copies share the engine's network link, so with more of them all would arrive later.
 */
const maxMovesPerEngine = 16;

/**
 * Delay after which engines that leave together are all known, so that none is chosen as a target.
 */
const batchDelayMs = 12;

/**
 * A stream that an engine has not begun, or that went back to an engine that is leaving, can't be
 * moved before its next event.
 */
const recheckDelayMs = 100;

/** Longest streams first: losing them wastes the most work. */
const byExpectedTokensDescending = (a: OpenStream, b: OpenStream): number =>
  b.expectedTokens() - a.expectedTokens();

/**
 * All nodes learn at the same time that an engine is leaving, and would choose the same target for
 * its streams. They act in turns, so that each node knows what the earlier ones have moved.
 */
export const EngineDrainer = {
  create: (context: ServingContext): EngineDrainer => {
    const streams = new Set<OpenStream>();
    const activeMoves = new Map<string, number>();
    let scheduled = false;
    let recheckScheduled = false;

    const mustMove = (member: FleetMember | undefined): boolean =>
      member !== undefined && (member.leaving || context.rollouts.isSuperseded(member));

    const startMove = (stream: OpenStream, member: FleetMember): void => {
      const { id } = member.upstream;
      activeMoves.set(id, (activeMoves.get(id) ?? 0) + 1);
      const done = (): void => {
        activeMoves.set(id, (activeMoves.get(id) ?? 1) - 1);
        scheduleCheck();
      };
      stream.move('engine is leaving or its version is superseded').then(done, (error: unknown) => {
        context.log.event('stream move failed', {
          request: stream.requestId,
          reason: String(error),
        });
        done();
      });
    };

    const scheduleRecheck = (): void => {
      if (!recheckScheduled) {
        recheckScheduled = true;
        context.clock.after(recheckDelayMs, () => {
          recheckScheduled = false;
          scheduleCheck();
        });
      }
    };

    const startMoves = (): void => {
      scheduled = false;
      const leaving = [...streams].filter((stream) => mustMove(stream.member()));
      for (const stream of leaving.sort(byExpectedTokensDescending)) {
        const member = stream.member();
        if (member === undefined) {
          continue;
        }
        if (!stream.isMovable()) {
          scheduleRecheck();
          continue;
        }
        if ((activeMoves.get(member.upstream.id) ?? 0) < maxMovesPerEngine) {
          startMove(stream, member);
        }
      }
    };

    const scheduleCheck = (): void => {
      if (!scheduled) {
        scheduled = true;
        context.clock.after(batchDelayMs + context.turnDelayMs(), startMoves);
      }
    };

    return {
      add: (stream) => {
        streams.add(stream);
      },
      remove: (stream) => {
        streams.delete(stream);
      },
      scheduleCheck,
    };
  },
};
