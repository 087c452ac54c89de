import { randomUUID } from 'node:crypto';
import type { AddressResponse } from '@zinniagrade/caller';
import type { Random } from '@zinniagrade/clock';
import { Failure } from '@zinniagrade/errors';
import { signTicket, ticketTtlMs } from '@zinniagrade/idempotency';
import type {
  ClientAccountId,
  Member,
  Milliseconds,
  NodeView,
  RegionId,
  ServiceId,
} from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';

/** Time for which a caller may cache an address answer. */
export const addressHoldMs: Milliseconds = 30_000;
const maxAddresses = 8;
const ticketsPerAnswer = 8;

export interface AddressOptions {
  readonly region: RegionId;
  readonly nodeSecret: string;
  readonly random: Random;
  readonly wallMs: () => Milliseconds;
}

const shuffle = (members: readonly Member[], random: Random): readonly Member[] =>
  members
    .map((member) => ({ member, sortKey: random() }))
    .sort((a, b) => a.sortKey - b.sortKey)
    .map(({ member }) => member);

/**
 * The nodes that a caller may connect to: the live nodes of this region whose data centre is not
 * withdrawn, or all live ones if none is left. The random order spreads callers over the nodes.
 */
export const createAddressAnswer = (
  { region, nodeSecret, random, wallMs }: AddressOptions,
  view: NodeView,
  clientAccount: ClientAccountId,
  service: ServiceId,
): Either<Failure, AddressResponse> => {
  if (view.configuration.services[service] === undefined) {
    return Left(Failure.create('not-found', `no service "${service}" is configured`));
  }
  const alive = view.members.filter(
    (member) => member.status === 'alive' && member.region === region,
  );
  const inService = alive.filter(({ dataCentre }) => !view.withdrawnDataCentres.has(dataCentre));
  const members = shuffle(inService.length > 0 ? inService : alive, random).slice(0, maxAddresses);
  const [first] = members;
  if (first === undefined) {
    return Left(Failure.create('leaving', 'this node knows of no live node in its region', 1_000));
  }
  const expiresAt = wallMs() + ticketTtlMs;
  return Right({
    addresses: members.map(({ nodeId, host, callerPort, dataCentre }) => ({
      nodeId,
      host,
      port: callerPort,
      dataCentre,
    })),
    holdMs: addressHoldMs,
    idempotencyKeys: Array.from({ length: ticketsPerAnswer }, () =>
      signTicket(nodeSecret, {
        clientAccount,
        node: first.nodeId,
        processIncarnation: first.processIncarnation,
        expiresAt,
        nonce: randomUUID(),
      }),
    ),
  });
};
