import { Logger } from '@zinniagrade/logger';
import { Clock } from '@zinniagrade/clock';
import type { EngineStandInSettings } from '@zinniagrade/engine-standin';
import { EngineStandIn, engineStandInSettingsSchema } from '@zinniagrade/engine-standin';
import { createStaticControl, startEntry, unavailableClaimStore } from '@zinniagrade/entry';
import { NaiveEntry } from '@zinniagrade/naive';
import { ServiceStandIn, serviceStandInSettingsSchema } from '@zinniagrade/service-standin';
import type { Member, Upstream } from '@zinniagrade/types';
import type { Policy } from '../proof.js';
import { createConfiguration, nodeSecret } from './fixture.js';

/** A server that runs in this process: a stand-in or an entry node. */
export interface LocalServer {
  readonly port: number;
  readonly close: () => Promise<void>;
}

const engineModel = { stepBaseMs: 10, stepPerStreamMs: 0 };

export const startLocalEngine = (
  settings: Partial<EngineStandInSettings> = {},
): Promise<LocalServer> => {
  const parsed = engineStandInSettingsSchema.parse({ port: 0, model: engineModel, ...settings });
  return EngineStandIn.create(parsed, Clock.create());
};

export const startLocalService = (): Promise<LocalServer> =>
  ServiceStandIn.create(
    serviceStandInSettingsSchema.parse({ port: 0 }),
    Clock.create(),
    () => undefined,
  );

const idleTimeoutMs = 200;
const callTimeoutMs = 300;

const startCurrent = async (upstreams: readonly Upstream[]): Promise<LocalServer> => {
  const members: Member[] = [];
  const entry = await startEntry({
    settings: {
      ...{ nodeId: 'n1', dataCentre: 'dc1', region: 'r', host: '127.0.0.1', callerPort: 0 },
      ...{
        nodeSecret,
        leaveAcceptMs: 0,
        drainMs: 1_000,
        engineIdleMs: idleTimeoutMs,
        callTimeoutMs,
      },
    },
    claims: unavailableClaimStore,
    logger: Logger.createSilent(),
    createControl: (_reports, callerPort) => {
      members.push({
        ...{ nodeId: 'n1', incarnation: 1, processIncarnation: 1, host: '127.0.0.1', callerPort },
        ...{ linkPort: 1, dataCentre: 'dc1', region: 'r', status: 'alive' },
      });
      const configuration = createConfiguration(upstreams);
      return Promise.resolve(createStaticControl({ configuration, members }));
    },
  });
  return { port: entry.callerPort, close: entry.close };
};

/** Starts the data path of one node over real connections, with a fixed configuration. */
export const startLocalNode = (
  policy: Policy,
  upstreams: readonly Upstream[],
): Promise<LocalServer> =>
  policy === 'naive'
    ? NaiveEntry.create({ port: 0, upstreams, idleMs: idleTimeoutMs, callTimeoutMs })
    : startCurrent(upstreams);

/** Runs a test and then closes the servers that it passed to `closeLater`, last first. */
export const withServers = async <Result>(
  run: (closeLater: <Server extends LocalServer>(server: Server) => Server) => Promise<Result>,
): Promise<Result> => {
  const servers: LocalServer[] = [];
  try {
    return await run((server) => {
      servers.push(server);
      return server;
    });
  } finally {
    for (const server of servers.reverse()) {
      await server.close();
    }
  }
};
