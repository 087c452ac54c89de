import type { Failure } from '@zinniagrade/errors';
import type { MoveEvent, OperatorClient } from '@zinniagrade/operator';
import { type Either, Left, Right } from 'purify-ts';

/** Watches moves; resolves with the last event of each when all named moves have ended. */
export const watchUntilEnded = (
  client: OperatorClient,
  ids: readonly string[],
  onEvent: (event: MoveEvent) => void,
): Promise<Either<Failure, readonly MoveEvent[]>> =>
  new Promise((resolve) => {
    const lastEvents = new Map<string, MoveEvent>();
    client.watchMoves(ids, {
      onItem: (event) => {
        lastEvents.set(event.move.id, event);
        onEvent(event);
      },
      onEnd: (failure) => {
        resolve(failure === undefined ? Right([...lastEvents.values()]) : Left(failure));
      },
    });
  });

export const describeMoveEvent = ({ move, phase }: MoveEvent): string => {
  const reason = move.reason === undefined ? '' : ` (${move.reason})`;
  return `move ${move.id} of ${move.service} to ${move.toVersion}: ${phase}${reason}`;
};
