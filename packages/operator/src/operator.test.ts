import { createHash } from 'node:crypto';
import { Clock, Random } from '@zinniagrade/clock';
import { listenFrames } from '@zinniagrade/frames';
import { Logger } from '@zinniagrade/logger';
import { FakeStore } from '@zinniagrade/platform';
import { checkDocument, formatFieldErrors } from '@zinniagrade/settings';
import type { Change } from '@zinniagrade/types';
import type { Either } from 'purify-ts';
import type { Failure } from '@zinniagrade/errors';
import { expect } from 'chai';
import { OperatorClient } from './operator-client.js';
import { OperatorServer } from './operator-server.js';
import { operatorSettingsSchema } from './operator-settings.js';

const host = '127.0.0.1';
const tokenHash = createHash('sha256').update('right').digest('hex');

const initial: readonly Change[] = [
  { kind: 'put-data-centre', dataCentre: { id: 'dc-1', region: 'r', state: 'in-service' } },
  { kind: 'put-data-centre', dataCentre: { id: 'dc-2', region: 'r', state: 'in-service' } },
  {
    kind: 'put-service',
    service: {
      id: 'lookups',
      kind: 'plain',
      class: 'lookup',
      version: 'v1',
      operations: [{ name: 'status', idempotent: true }],
      firstAnswerDeadlineMs: 500,
    },
  },
  { kind: 'put-version', version: { id: 'v1', service: 'lookups' } },
  { kind: 'put-version', version: { id: 'v2', service: 'lookups' } },
];

let writeCount = 0;
const write = (expectedRevision?: number) => {
  writeCount += 1;
  return { operationId: `op-${writeCount}`, expectedRevision };
};

/** Starts a server on an in-memory store that holds the initial configuration at revision 1. */
const start = async () => {
  const clock = Clock.create();
  const store = FakeStore.create(clock, Random.create(1));
  const received: unknown[] = [];
  const nodes = await listenFrames(
    { host, port: 0 },
    { secret: 's', name: 'node' },
    {
      onOpen: () => undefined,
      onMessage: (_, message) => received.push(message),
      onClose: () => undefined,
    },
  );
  const server = await OperatorServer.create({
    settings: {
      name: 'operator',
      listen: { host, port: 0 },
      credentials: [{ name: 'anna', tokenHash }],
      platform: { host, port: 1 },
      nodeLinks: [{ host, port: nodes.port }],
      secret: 's',
    },
    platform: { store: store.client() },
    clock,
    logger: Logger.createSilent(),
  });
  const clientWithToken = (token: string) =>
    OperatorClient.create({ host, port: server.port }, token);
  const client = clientWithToken('right');
  const applied = await client.apply(write(0), initial);
  expect(applied.extract()).to.deep.equal({ revision: 1, provisional: false });
  const stop = async (): Promise<void> => {
    client.close();
    await server.close();
    await nodes.close();
  };
  return { client, clientWithToken, store, received, stop };
};

const kindsOf = (messages: readonly unknown[]): readonly unknown[] =>
  messages.map((message) => (message as { readonly kind: string }).kind);

const expectFailure = (answer: Either<Failure, unknown>): Failure => {
  const failure = answer.swap().toMaybe().extract();
  expect(failure, 'the call should have failed').to.not.equal(undefined);
  return failure ?? { kind: 'internal', detail: '' };
};

const moveWith = (part: object = {}) => ({
  id: 'm1',
  service: 'lookups',
  toVersion: 'v2',
  startAt: Date.now(),
  deadlineAt: Date.now() + 60_000,
  ...part,
});

describe('operator interface', () => {
  it('returns the configuration that was applied', async () => {
    const { client, stop } = await start();
    const { configuration } = (await client.get()).unsafeCoerce();
    expect(configuration.revision).to.equal(1);
    expect(configuration.services.lookups?.operations).to.deep.equal([
      { name: 'status', idempotent: true },
    ]);
    const one = (await client.get('versions', 'v2')).unsafeCoerce();
    expect(Object.keys(one.configuration.versions)).to.deep.equal(['v2']);
    expect(expectFailure(await client.get('versions', 'v3')).kind).to.equal('not-found');
    await stop();
  });

  it('reports the winning revision to the loser of a race', async () => {
    const { client, stop } = await start();
    await client.withdrawDataCentre(write(1), 'dc-1');
    const lost = expectFailure(await client.withdrawDataCentre(write(1), 'dc-2'));
    expect(lost.kind).to.equal('revision-conflict');
    expect(lost.detail).to.match(/revision 2/);
    await stop();
  });

  it('applies a repeated write once', async () => {
    const { client, stop } = await start();
    const again = write(1);
    const first = await client.withdrawDataCentre(again, 'dc-1');
    const second = await client.withdrawDataCentre(again, 'dc-1');
    expect(second.extract()).to.deep.equal(first.extract());
    await stop();
  });

  it('refuses to remove an unknown upstream or to withdraw the last data centre', async () => {
    const { client, stop } = await start();
    const unknown = await client.apply(write(1), [{ kind: 'remove-upstream', id: 'e-9' }]);
    expect(expectFailure(unknown).detail).to.match(/e-9/);
    await client.withdrawDataCentre(write(1), 'dc-1');
    const last = expectFailure(await client.withdrawDataCentre(write(2), 'dc-2'));
    expect(last.detail).to.match(/last data centre/);
    const { configuration } = (await client.get()).unsafeCoerce();
    expect(configuration.revision).to.equal(2);
    await stop();
  });

  it('refuses a move whose deadline has passed, and a second move on a service', async () => {
    const { client, stop } = await start();
    const late = await client.startMove(write(), moveWith({ startAt: 1, deadlineAt: 2 }));
    expect(expectFailure(late).detail).to.match(/deadline/);
    expect((await client.startMove(write(), moveWith())).isRight()).to.equal(true);
    const second = await client.startMove(write(), moveWith({ id: 'm2' }));
    expect(expectFailure(second).detail).to.match(/already has the move "m1"/);
    await stop();
  });

  it('refuses every call without the token of an operator', async () => {
    const { clientWithToken, stop } = await start();
    const stranger = clientWithToken('wrong');
    expect(expectFailure(await stranger.get()).kind).to.equal('unauthenticated');
    const ended = await new Promise<Failure | undefined>((resolve) => {
      stranger.watchMoves([], { onItem: () => undefined, onEnd: resolve });
    });
    expect(ended?.kind).to.equal('unauthenticated');
    stranger.close();
    await stop();
  });

  it('reports the phases of a move until it has ended', async () => {
    const { client, stop } = await start();
    await client.startMove(write(), moveWith());
    const phases: string[] = [];
    const ended = new Promise<Failure | undefined>((resolve) => {
      client.watchMoves(['m1'], {
        onItem: ({ move, phase }) => {
          phases.push(`${phase} ${move.reason ?? ''}`.trim());
          if (phase === 'running') {
            void client.takeBackMove(write(), 'm1', 'too late in the day');
          }
        },
        onEnd: resolve,
      });
    });
    expect(await ended).to.equal(undefined);
    expect(phases).to.deep.equal(['running', 'taken-back too late in the day']);
    await stop();
  });

  it('withdraws provisionally while the store is down, and writes the withdrawal when it is back', async () => {
    const { client, store, received, stop } = await start();
    await client.get();
    store.faults.outage = true;
    const lastOne = await client.apply(write(1), initial);
    expect(expectFailure(lastOne).kind).to.equal('store-unavailable');
    const withdrawn = await client.withdrawDataCentre(write(1), 'dc-1');
    expect(withdrawn.extract()).to.deep.equal({ revision: 0, provisional: true });
    expect(kindsOf(received)).to.deep.equal(['configuration-change', 'provisional-withdrawal']);
    const during = (await client.status()).unsafeCoerce();
    expect(during.provisionalWithdrawals).to.deep.equal(['dc-1']);
    store.faults.outage = false;
    for (let written = false; !written;) {
      const { configuration } = (await client.get()).unsafeCoerce();
      written = configuration.dataCentres['dc-1']?.state === 'withdrawn';
    }
    while (received.length < 3) {
      await new Promise((resolve) => setImmediate(resolve));
    }
    // Without the revision, a node could drop the withdrawal before it has the change that replaces
    // it.
    expect(received[2]).to.deep.include({ settled: true, revision: 2 });
    await stop();
  });

  it('notifies nodes of an accepted change before it answers, so that a store outage cannot delay it', async () => {
    const { client, received, stop } = await start();
    const before = received.length;
    const withdrawn = await client.withdrawDataCentre(write(1), 'dc-1');
    expect(withdrawn.extract()).to.deep.equal({ revision: 2, provisional: false });
    expect(received).to.have.length(before + 1);
    expect(received[before]).to.deep.include({ kind: 'configuration-change' });
    await stop();
  });
});

describe('operator settings', () => {
  it('refuse an unknown field', () => {
    const document = { listen: { host, port: 0 }, credential: [] };
    const faults = checkDocument(operatorSettingsSchema, document);
    expect(faults.caseOf({ Left: formatFieldErrors, Right: () => '' })).to.match(/credential/);
  });
});
