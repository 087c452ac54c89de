import { Clock, Random } from '@zinniagrade/clock';
import { commitChangeSet } from '@zinniagrade/configuration';
import { Failure } from '@zinniagrade/errors';
import { Counters, Logger } from '@zinniagrade/logger';
import { type LinkAddress, NodeLink } from '@zinniagrade/node-link';
import { Platform } from '@zinniagrade/platform';
import { PlatformStandIn, platformStandInSettingsSchema } from '@zinniagrade/platform-standin';
import { expect } from 'chai';
import { Left } from 'purify-ts';
import { Control } from './control.js';

const host = '127.0.0.1';
const clock = Clock.create();
const counters = Counters.create('test');

const waitFor = async (condition: () => boolean, limitMs: number): Promise<boolean> => {
  const end = clock.monotonicMs() + limitMs;
  while (!condition() && clock.monotonicMs() < end) {
    await new Promise((resolve) => setTimeout(resolve, 10));
  }
  return condition();
};

const startNode = async (nodeId: string, platformPort: number, seeds: readonly LinkAddress[]) => {
  const platform = Platform.create({ host, port: platformPort }, clock);
  const linkHolder: { link?: NodeLink } = {};
  const control = await Control.create(
    { nodeId, host, callerPort: 1, dataCentre: 'a', region: 'r', seeds, holdMs: 1000 },
    {
      clock,
      random: Random.create(1),
      logger: Logger.createSilent(),
      counters,
      event: () => undefined,
      readLoad: () => Promise.resolve(Left(Failure.create('upstream-unreachable', 'none'))),
      store: platform.store,
      vms: platform.vms,
      openLink: async (events) => {
        const options = { nodeId, host, port: 0, secret: 'secret' };
        linkHolder.link = await NodeLink.create(options, clock, counters, events);
        return linkHolder.link;
      },
      dataPath: {
        collectInFlight: () => [],
        collectVersionEvidence: () => [],
        answerForward: ({ operation }) =>
          Promise.resolve({ ok: true, result: `${operation}@${nodeId}` }),
        openRequests: () => 0,
      },
    },
  );
  const close = async () => {
    await control.close();
    await platform.close();
  };
  return { control, platform, port: linkHolder.link?.port ?? 0, close };
};

describe('control over sockets', () => {
  it('joins, propagates a change, forwards a call and learns that a member is leaving', async () => {
    const settings = platformStandInSettingsSchema.parse({ port: 0 });
    const standIn = await PlatformStandIn.create(settings, clock);
    const first = await startNode('n0', standIn.port, []);
    const seeds = [{ host, port: first.port }];
    const nodes = [first];
    for (const id of ['n1', 'n2', 'n3']) {
      nodes.push(await startNode(id, standIn.port, seeds));
    }
    const views = () => nodes.map(({ control }) => control.view());
    expect(
      await waitFor(() => views().every(({ members }) => members.length === 4), 10_000),
    ).to.equal(true);

    const committed = await commitChangeSet(
      first.platform.store,
      {
        operationId: 'o1',
        changes: [
          { kind: 'put-data-centre', dataCentre: { id: 'a', region: 'r', state: 'in-service' } },
        ],
      },
      { clock },
    );
    expect(committed.extract()).to.equal(1);
    expect(
      await waitFor(() => views().every((view) => view.configuration.revision === 1), 3000),
    ).to.equal(true);

    const outcome = await nodes[1]?.control.forwardCall(
      'n3',
      nodes[3]?.control.processIncarnation ?? 0,
      {
        clientAccount: 'c',
        service: 's',
        idempotencyKey: 'k',
        operation: 'pay',
        arguments: {},
      },
    );
    expect(outcome).to.deep.equal({ ok: true, result: 'pay@n3' });

    nodes[3]?.control.announceLeaving();
    const isLeaving = () =>
      views().every(({ members }) =>
        members.some(({ nodeId, status }) => nodeId === 'n3' && status === 'leaving'),
      );
    expect(await waitFor(isLeaving, 3000)).to.equal(true);
    for (const { close } of nodes) {
      await close();
    }
    await standIn.close();
  });
});
