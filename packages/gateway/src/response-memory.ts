import { BodyMemory } from './bounded-body.js';
import type { MemoryGate } from './memory-gate.js';
import type { UnreadResponses } from './unread-responses.js';

/** Memory that responses share: those that arrive, and those that their callers have not read. */
export const ResponseMemory = {
  create: (gate: MemoryGate, unread: UnreadResponses, maxBytes: number): BodyMemory => {
    const memory = BodyMemory.create(maxBytes, (availableBytes) => {
      const excessBytes = unread.heldBytes() - availableBytes;
      if (excessBytes > 0) {
        gate.recordFreed(unread.shed(excessBytes));
      }
      return unread.heldBytes();
    });
    gate.addHolder({
      name: 'responses',
      heldBytes: memory.usedBytes,
      shed: () => 0,
    });
    gate.addHolder({
      name: 'unreadResponses',
      heldBytes: unread.heldBytes,
      shed: unread.shed,
    });
    return {
      ...memory,
      take: (bytes) => {
        gate.recordReceived(bytes);
        return memory.take(bytes);
      },
    };
  },
};
