import { Agent } from 'node:http';
import type { Random } from '@zinniagrade/clock';
import { sendCallerRequest, type RequestKind } from '@zinniagrade/platform-adapter/standins';
import type { GatewayProcess } from './gateway-process.js';
import type { Ledger } from './ledger.js';

/** Callers that send requests to all gateways until they are stopped. */
export interface Traffic {
  /** Stops, and resolves when the last answer is there. */
  readonly stop: () => Promise<void>;
}

export interface TrafficOptions {
  readonly gateways: readonly GatewayProcess[];
  /** Keys to use; they may be revoked meanwhile. */
  readonly keys: readonly string[];
  readonly ledger: Ledger;
  readonly random: Random;
}

const callers = 12;
const pauseMs = 40;
const waitMs: Readonly<Record<RequestKind, number>> = { read: 1500, write: 1500, text: 4000 };
const kinds: readonly RequestKind[] = ['read', 'read', 'write', 'write', 'text'];

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export const Traffic = {
  create: ({ gateways, keys, ledger, random }: TrafficOptions): Traffic => {
    let stopped = false;
    let sent = 0;

    /** Keeps its connections open, also to gateways that leave, until these close them. */
    const runCaller = async (): Promise<void> => {
      const agent = new Agent({ keepAlive: true, maxSockets: 4 });
      while (!stopped) {
        const gateway = gateways[Math.floor(random() * gateways.length)];
        const kind = kinds[Math.floor(random() * kinds.length)];
        const key = keys[Math.floor(random() * keys.length)];
        if (gateway === undefined || kind === undefined || key === undefined) {
          throw new Error('nothing to ask');
        }
        sent += 1;
        const id = `soak-${String(sent)}`;
        const sentAtMs = performance.now();
        const answer = await sendCallerRequest(
          gateway.callerAddress,
          agent,
          id,
          kind,
          key,
          waitMs[kind],
        );
        ledger.requests.push({
          id,
          kind,
          key,
          gateway: gateway.node,
          sentAtMs,
          endedAtMs: performance.now(),
          answer,
        });
        await sleep(pauseMs * random() * 2);
      }
      agent.destroy();
    };

    const running = Array.from({ length: callers }, runCaller);
    return {
      stop: async () => {
        stopped = true;
        await Promise.all(running);
      },
    };
  },
};
