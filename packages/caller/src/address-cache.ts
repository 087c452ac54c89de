import type { Clock } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import type { ServiceId } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import type { Agent } from 'undici';
import { z } from 'zod';
import type { NodeAddress } from './client-request.js';
import { sendRequest, readJson } from './client-request.js';

const addressSchema = z.object({
  addresses: z.array(z.object({ host: z.string(), port: z.number() })).min(1),
  holdMs: z.number(),
  idempotencyKeys: z.array(z.string()),
});

const addressTimeoutMs = 3_000;
/** Time for which a failed address is avoided; nodes detect a failed node in about this time. */
const failedAddressAvoidMs = 5_000;
/** Limit on the requests made to get a ticket owned by a node that has not failed. */
const maxTicketRequests = 6;

/** A cached response to an address request. */
interface CachedAddresses {
  readonly addresses: readonly NodeAddress[];
  readonly tickets: string[];
  readonly expiresAtMs: number;
}

/** Caches the addresses that a caller may use, and requests new ones when they expire. */
export interface AddressCache {
  readonly get: (service: ServiceId) => Promise<Either<Failure, readonly NodeAddress[]>>;
  /** An unused ticket with the addresses of its response. The first is that of its owner. */
  readonly takeTicket: (
    service: ServiceId,
  ) => Promise<
    Either<Failure, { readonly ticket: string; readonly addresses: readonly NodeAddress[] }>
  >;
  /** Drops the cached response, and avoids the failed address for a while. */
  readonly invalidate: (service: ServiceId, failed?: NodeAddress) => void;
}

export const AddressCache = {
  create: (
    agent: Agent,
    clock: Clock,
    seeds: readonly NodeAddress[],
    headers: Readonly<Record<string, string>>,
  ): AddressCache => {
    const cache = new Map<ServiceId, CachedAddresses>();
    const failedUntilMs = new Map<string, number>();
    let knownAddresses: readonly NodeAddress[] = seeds;
    const failedRecently = ({ host, port }: NodeAddress): boolean =>
      (failedUntilMs.get(`${host}:${port}`) ?? 0) > clock.monotonicMs();
    const markFailed = ({ host, port }: NodeAddress): void => {
      failedUntilMs.set(`${host}:${port}`, clock.monotonicMs() + failedAddressAvoidMs);
    };
    const withoutFailed = (addresses: readonly NodeAddress[]): readonly NodeAddress[] => {
      const working = addresses.filter((address) => !failedRecently(address));
      return working.length > 0 ? working : addresses;
    };
    const fetchAddresses = async (
      service: ServiceId,
    ): Promise<Either<Failure, CachedAddresses>> => {
      let lastFailure = Failure.create('no-upstream', 'no node address is known');
      for (const address of withoutFailed(knownAddresses)) {
        const requestedAtMs = clock.monotonicMs();
        const response = await sendRequest(agent, address, {
          method: 'GET',
          path: `/v1/address?service=${encodeURIComponent(service)}`,
          headers,
          timeoutMs: addressTimeoutMs,
        });
        if (response.kind !== 'ok') {
          lastFailure = response.failure.failure;
          if (response.kind === 'cut') {
            markFailed(address);
          }
          continue;
        }
        const parsed = addressSchema.safeParse(
          await readJson(response.body).catch(() => undefined),
        );
        if (!parsed.success) {
          continue;
        }
        const { addresses, holdMs, idempotencyKeys } = parsed.data;
        const next = { addresses, tickets: idempotencyKeys, expiresAtMs: requestedAtMs + holdMs };
        cache.set(service, next);
        knownAddresses = [
          ...addresses,
          ...knownAddresses.filter(
            ({ host, port }) =>
              !addresses.some((other) => other.host === host && other.port === port),
          ),
        ].slice(0, seeds.length + addresses.length);
        return Right(next);
      }
      return Left(lastFailure);
    };
    const cachedOrFetched = async (
      service: ServiceId,
      needsTicket: boolean,
    ): Promise<Either<Failure, CachedAddresses>> => {
      const cached = cache.get(service);
      return cached !== undefined &&
        cached.expiresAtMs > clock.monotonicMs() &&
        (!needsTicket || cached.tickets.length > 0)
        ? Right(cached)
        : fetchAddresses(service);
    };
    /** Requests again while the owner of the tickets, the node at the first address, has failed. */
    const cachedOrFetchedTickets = async (
      service: ServiceId,
    ): Promise<Either<Failure, CachedAddresses>> => {
      let result = await cachedOrFetched(service, true);
      for (let requests = 1; requests < maxTicketRequests; requests += 1) {
        const first = result.map(({ addresses }) => addresses[0]).orDefault(undefined);
        if (first === undefined || !failedRecently(first)) {
          break;
        }
        result = await fetchAddresses(service);
      }
      return result;
    };
    return {
      get: async (service) =>
        (await cachedOrFetched(service, false)).map(({ addresses }) => withoutFailed(addresses)),
      takeTicket: async (service) =>
        (await cachedOrFetchedTickets(service)).chain(({ tickets, addresses }) => {
          const ticket = tickets.shift();
          return ticket === undefined
            ? Left(Failure.create('overloaded', 'the node issued no ticket'))
            : Right({ ticket, addresses: withoutFailed(addresses) });
        }),
      invalidate: (service, failed) => {
        cache.delete(service);
        if (failed !== undefined) {
          markFailed(failed);
        }
      },
    };
  },
};
