import { Clock } from '@zinniagrade/clock';
import type { Failure } from '@zinniagrade/errors';
import type { ClientAccountId, Milliseconds, ServiceId } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Agent } from 'undici';
import type { ClientCall } from './client-call.js';
import { callFromClient } from './client-call.js';
import type { NodeAddress } from './client-request.js';
import type { ClientGeneration, CompleteGeneration } from './client-stream.js';
import { generateFromClient } from './client-stream.js';
import { AddressCache } from './address-cache.js';

export interface CallerClientSettings {
  readonly clientAccount: ClientAccountId;
  readonly secret: string;
  /** Nodes that are asked for addresses first. */
  readonly seeds: readonly NodeAddress[];
  readonly clock?: Clock;
}

/** State shared by all requests of one client. */
export interface ClientContext {
  readonly agent: Agent;
  readonly headers: Readonly<Record<string, string>>;
  readonly addresses: AddressCache;
  readonly wait: (ms: Milliseconds) => Promise<void>;
}

/**
 * Client library for callers. It requests node addresses, caches them for as long as the response
 * allows, and fails over to another node when a connection breaks.
 */
export interface CallerClient {
  readonly generate: (
    service: ServiceId,
    generation: ClientGeneration,
  ) => Promise<Either<Failure, CompleteGeneration>>;
  /**
   * Calls a plain service. A non-idempotent call runs at most once; if nothing proves whether it
   * ran, the failure is `outcome-unknown`.
   */
  readonly call: (service: ServiceId, call: ClientCall) => Promise<Either<Failure, unknown>>;
  readonly close: () => Promise<void>;
}

const connectTimeoutMs = 1_000;

export const CallerClient = {
  create: ({
    clientAccount,
    secret,
    seeds,
    clock = Clock.create(),
  }: CallerClientSettings): CallerClient => {
    const agent = new Agent({ connect: { timeout: connectTimeoutMs }, pipelining: 1 });
    const headers = { authorization: `Bearer ${clientAccount}.${secret}` };
    const context: ClientContext = {
      agent,
      headers,
      addresses: AddressCache.create(agent, clock, seeds, headers),
      wait: (ms) =>
        new Promise((resolve) => {
          clock.after(ms, resolve);
        }),
    };
    return {
      generate: (service, generation) => generateFromClient(context, service, generation),
      call: (service, call) => callFromClient(context, service, call),
      close: () => agent.destroy(),
    };
  },
};
