import type { Clock } from '@zinniagrade/clock';
import { z } from 'zod';
import type { NodePeers } from './node-peers.js';
import type { RowFields } from './peer-topics.js';

/** The last order of upstreams that is known for a service in a data centre. */
export interface KnownOrder {
  readonly service: string;
  readonly dataCentre: string;
  readonly count: number;
  /** Fencing token of the holder that sent it. */
  readonly token: number;
  /** Whether the platform is known to have taken it. */
  readonly confirmed: boolean;
  /** On the monotonic clock of this node. */
  readonly sentAtMs: number;
}

/**
 * Orders of upstreams that nodes have sent. Nothing can be read back from the platform, so that a new
 * holder learns here what its predecessor has ordered.
 */
export interface KnownOrders {
  /**
   * Shares an order of this node with all others, before it is sent and when its outcome is known;
   * not if a later holder has ordered since.
   */
  readonly share: (order: KnownOrder) => void;
  readonly lastOf: (service: string, dataCentre: string) => KnownOrder | undefined;
  /** Orders that all nodes have sent within the last second. */
  readonly sentWithinSecond: () => number;
}

interface NumberedOrder extends KnownOrder {
  /** Increases with each row that a holder shares. */
  readonly number: number;
}

const maxNameLength = 1000;
const nameSchema = z.string().max(maxNameLength);
const countSchema = z.int().min(0);

/** Service, data centre, token, number, count, age in ms, and whether it is confirmed. */
const rowSchema = z.tuple([
  nameSchema,
  nameSchema,
  countSchema,
  countSchema,
  countSchema,
  z.number().min(0),
  z.boolean(),
]);

const topicName = 'upstream-orders';
const rateWindowMs = 1000;
/** Bounds what rows of other nodes can take of the memory. */
const maxOrders = 1000;

const keyOf = (service: string, dataCentre: string): string =>
  JSON.stringify([service, dataCentre]);

export const KnownOrders = {
  /** `onOrder` is called with each new order of another node. */
  create: (
    clock: Clock,
    openTopic: NodePeers['openTopic'],
    onOrder: (order: KnownOrder) => void,
  ): KnownOrders => {
    const orders = new Map<string, NumberedOrder>();
    const now = clock.monotonicMs;

    const toRow = (order: NumberedOrder): RowFields => [
      order.service,
      order.dataCentre,
      order.token,
      order.number,
      order.count,
      Math.round(now() - order.sentAtMs),
      order.confirmed,
    ];

    const isNewer = (order: NumberedOrder, known: NumberedOrder): boolean =>
      order.token > known.token || (order.token === known.token && order.number > known.number);

    const receive = (fields: RowFields): boolean => {
      const row = rowSchema.safeParse(fields);
      if (!row.success) {
        return false;
      }
      const [service, dataCentre, token, number, count, ageMs, confirmed] = row.data;
      const order = {
        ...{ service, dataCentre, token, number, count, confirmed },
        sentAtMs: now() - ageMs,
      };
      const key = keyOf(service, dataCentre);
      const known = orders.get(key);
      const isAccepted = known === undefined ? orders.size < maxOrders : isNewer(order, known);
      if (isAccepted) {
        orders.set(key, order);
        if (known?.token !== token || known.count !== count) {
          onOrder(order);
        }
      }
      return true;
    };

    const shareRow = openTopic({
      name: topicName,
      receive: (_node, fields) => receive(fields),
      snapshot: () => [...orders.values()].map(toRow),
    });

    return {
      share: (order) => {
        const key = keyOf(order.service, order.dataCentre);
        const known = orders.get(key);
        if (known !== undefined && known.token > order.token) {
          return;
        }
        const number = known?.token === order.token ? known.number + 1 : 0;
        const numbered = { ...order, number };
        orders.set(key, numbered);
        shareRow(toRow(numbered));
      },
      lastOf: (service, dataCentre) => orders.get(keyOf(service, dataCentre)),
      sentWithinSecond: () => {
        let sent = 0;
        for (const { sentAtMs } of orders.values()) {
          sent += now() - sentAtMs < rateWindowMs ? 1 : 0;
        }
        return sent;
      },
    };
  },
};
