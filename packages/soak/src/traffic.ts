import { Agent } from 'node:http';
import type { Random } from '@zinniagrade/clock';
import { sendCallerRequest, type RequestKind } from '@zinniagrade/platform-adapter/standins';
import type { GatewayProcess } from './gateway-process.js';
import type { Observations } from './observations.js';
import { sleep } from './sleep.js';

/** Concurrent callers that send requests to random gateways until stopped. */
export interface Traffic {
  /** Stops the callers; resolves when every request sent has ended. */
  readonly stop: () => Promise<void>;
}

export interface TrafficOptions {
  readonly gateways: readonly GatewayProcess[];
  /** API keys to draw from; some may be revoked while the callers run. */
  readonly apiKeys: readonly string[];
  readonly observations: Observations;
  readonly random: Random;
}

const callerCount = 12;
const meanPauseMs = 40;
const timeoutsMs: Readonly<Record<RequestKind, number>> = { read: 1500, write: 1500, text: 4000 };
/** Share of the requests whose key is drawn whether or not it was revoked. */
const anyKeyShare = 0.15;
const requestKindMix: readonly RequestKind[] = ['read', 'read', 'write', 'write', 'text'];

export const Traffic = {
  create: ({ gateways, apiKeys, observations, random }: TrafficOptions): Traffic => {
    let stopped = false;
    let requestCount = 0;

    /** Most callers learn of a revocation; requests with a revoked key test only its refusal. */
    const chooseKey = (): string | undefined => {
      const validKeys = apiKeys.filter((key) => !observations.keyRevokedAtMs.has(key));
      const keys = random() < anyKeyShare ? apiKeys : validKeys;
      return keys[Math.floor(random() * keys.length)];
    };

    /** Uses keep-alive connections, which stay open to a stopping gateway until it closes them. */
    const runCaller = async (): Promise<void> => {
      const agent = new Agent({ keepAlive: true, maxSockets: 4 });
      while (!stopped) {
        const gateway = gateways[Math.floor(random() * gateways.length)];
        const kind = requestKindMix[Math.floor(random() * requestKindMix.length)];
        const key = chooseKey();
        if (gateway === undefined || kind === undefined || key === undefined) {
          throw new Error('no gateway, request kind or API key to choose from');
        }
        requestCount += 1;
        const id = `soak-${String(requestCount)}`;
        const sentAtMs = performance.now();
        const answer = await sendCallerRequest(
          gateway.callerAddress,
          agent,
          id,
          kind,
          key,
          timeoutsMs[kind],
        );
        observations.requests.push({
          id,
          kind,
          key,
          gateway: gateway.node,
          sentAtMs,
          endedAtMs: performance.now(),
          answer,
        });
        await sleep(meanPauseMs * random() * 2);
      }
      agent.destroy();
    };

    const callers = Array.from({ length: callerCount }, runCaller);
    return {
      stop: async () => {
        stopped = true;
        await Promise.all(callers);
      },
    };
  },
};
