import type { Clock } from '@zinniagrade/clock';
import { connectFrames } from '@zinniagrade/frames';
import type {
  ConfigurationChange,
  Milliseconds,
  ProvisionalWithdrawalMessage,
} from '@zinniagrade/types';
import type { Address } from './operator-settings.js';

const connectTimeoutMs: Milliseconds = 1000;
/** Delay before the connection is closed, so that the frame can be sent. */
const closeDelayMs: Milliseconds = 200;

/** A message from the operator process to nodes, which flood it among themselves. */
export type NodeAnnouncement = ConfigurationChange | ProvisionalWithdrawalMessage;

/** Sends a message to the configured nodes; returns the number of nodes to which it was sent. */
export type NodeNotifier = (message: NodeAnnouncement) => Promise<number>;

/** Creates a notifier that connects to the node links at the given addresses. */
export const createNodeNotifier =
  (
    addresses: readonly Address[],
    settings: { readonly name: string; readonly secret: string },
    clock: Clock,
  ): NodeNotifier =>
  async (message) => {
    const sendResults = await Promise.all(
      addresses.map(
        (address) =>
          new Promise<boolean>((resolve) => {
            const attempt = connectFrames(address, settings, {
              onOpen: (connection) => {
                const wasSent = connection.send(message);
                resolve(wasSent);
                clock.after(closeDelayMs, connection.close);
              },
              onMessage: () => undefined,
              onClose: () => {
                resolve(false);
              },
            });
            clock.after(connectTimeoutMs, () => {
              resolve(false);
              clock.after(closeDelayMs, attempt.close);
            });
          }),
      ),
    );
    return sendResults.filter((wasSent) => wasSent).length;
  };
