import { randomUUID } from 'node:crypto';
import type {
  CallerApi,
  GenerationRequest,
  StreamControl,
  StreamOutput,
} from '@zinniagrade/caller';
import type { Clock, Random } from '@zinniagrade/clock';
import type { DataPathReports, NodeControl } from '@zinniagrade/control';
import { Failure } from '@zinniagrade/errors';
import { ResumeTokens } from '@zinniagrade/generation';
import type { Counters } from '@zinniagrade/logger';
import type { ClientAccountId, NodeId, RegionId } from '@zinniagrade/types';
import type { UpstreamClient } from '@zinniagrade/upstream';
import type { Either } from 'purify-ts';
import { Left, Right } from 'purify-ts';
import { createAddressAnswer } from './addresses.js';
import type { ClaimStore } from './claim-key.js';
import { startRelay } from './generation-relay.js';
import { createAdmissionQueue } from './admission-queue.js';
import type { UpstreamChooser } from './choose-upstream.js';
import type { MemoryModel } from './memory-model.js';
import { estimatePromptTokens } from './memory-model.js';
import type { PlacementRequest } from './placement.js';
import { createPlacer } from './placement.js';
import { createPlainCalls } from './plain-calls.js';
import { createVersionDraw } from './version-draw.js';
import { WorkMeter } from './work-meter.js';

/** Output limit of a request that sets none. */
export const defaultMaxTokens = 1024;
export interface DataPathDependencies {
  readonly nodeId: NodeId;
  readonly region: RegionId;
  /** Shared by the nodes; signs tickets and resume tokens. */
  readonly nodeSecret: string;
  /**
   * Called for each request, because the control plane, which uses the reports of the data path, is
   * created after it.
   */
  readonly control: () => NodeControl;
  readonly client: UpstreamClient;
  readonly claims: ClaimStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly chooseUpstream: UpstreamChooser;
  /** Predicts the memory of generations. */
  readonly memoryModel: MemoryModel;
}

/** The data path of a node: the API for callers and the reports for the control plane. */
export interface DataPath {
  readonly callerApi: CallerApi;
  readonly reports: DataPathReports;
  /** Removes expired idempotency keys; to be called periodically. */
  readonly dropExpiredKeys: () => void;
}

const inactiveStream: StreamControl = { drained: () => undefined, callerGone: () => undefined };

export const DataPath = {
  create: (dependencies: DataPathDependencies): DataPath => {
    const { nodeId, region, nodeSecret, control, client, claims, clock, random, counters } =
      dependencies;
    const view = (): ReturnType<NodeControl['view']> => control().view();
    const memoryModel = dependencies.memoryModel;
    const meter = WorkMeter.create(memoryModel, clock.monotonicMs);
    const resumeTokens = ResumeTokens.create(nodeSecret);
    const placeRequest = createPlacer({
      view,
      meter,
      clock,
      random,
      chooseUpstream: dependencies.chooseUpstream,
      reportLeaving: (upstream) => {
        control().reportLeavingUpstream(upstream);
      },
    });
    const admit = createAdmissionQueue({ place: placeRequest, view, clock });
    const drawVersion = createVersionDraw(view, clock, random);
    const relayDependencies = { admit, client, resumeTokens, clock };
    const plainCalls = createPlainCalls({
      nodeId,
      nodeSecret,
      control,
      claims,
      clock,
      admit,
      client,
      drawVersion,
    });
    let openRequests = 0;
    const countOpenRequest = (): (() => void) => {
      openRequests += 1;
      return () => {
        openRequests -= 1;
      };
    };
    const refuse = (output: StreamOutput, failure: Failure): StreamControl => {
      counters.increment('refused', 1, { kind: failure.kind });
      output.fail(failure);
      return inactiveStream;
    };
    const generate = (request: GenerationRequest, output: StreamOutput): StreamControl => {
      const service = view().configuration.services[request.service];
      if (service?.kind !== 'generation') {
        return refuse(
          output,
          Failure.create('not-found', `no generation service "${request.service}" is configured`),
        );
      }
      counters.increment('generations');
      const maxTokens = request.maxTokens ?? defaultMaxTokens;
      const tokenCounts = { promptTokens: estimatePromptTokens(request.prompt), maxTokens };
      const placement: PlacementRequest = {
        ...tokenCounts,
        id: randomUUID(),
        service,
        clientAccount: request.clientAccount,
        route: 'generate',
        memory: memoryModel.curveOf({ ...tokenCounts, service, tokensSoFar: 0 }),
        prompt: request.prompt,
        drawnForNew: drawVersion(service),
        arrivedAt: clock.monotonicMs(),
      };
      return startRelay(
        relayDependencies,
        { kind: 'new', request, service, placement, maxTokens },
        output,
        countOpenRequest(),
      );
    };
    const resume = (
      clientAccount: ClientAccountId,
      token: string,
      output: StreamOutput,
    ): StreamControl =>
      resumeTokens.verify(token, clientAccount).caseOf({
        Left: (failure) => refuse(output, failure),
        Right: (point) => {
          const { configuration, refusesNewWork } = view();
          const upstream = configuration.upstreams[point.upstream];
          const service = configuration.services[point.service];
          if (refusesNewWork === 'leaving') {
            return refuse(
              output,
              Failure.create('leaving', 'this node is shutting down; resume at another node'),
            );
          }
          if (upstream === undefined || service === undefined) {
            return refuse(
              output,
              Failure.create(
                'generation-lost',
                `upstream ${point.upstream} or its service is no longer configured`,
              ),
            );
          }
          counters.increment('resumes');
          // The upstream already runs this generation, so it is counted even if that exceeds the
          // limit.
          const work = meter.start(
            {
              upstream: upstream.id,
              version: upstream.version,
              service,
              route: 'generate',
              promptTokens: 0,
              tokensSoFar: point.nextIndex,
              maxTokens: point.nextIndex + defaultMaxTokens,
            },
            clock.monotonicMs(),
          );
          return startRelay(
            relayDependencies,
            { kind: 'resumed', point, upstream, work },
            output,
            countOpenRequest(),
          );
        },
      });
    const cancel = async (
      clientAccount: ClientAccountId,
      token: string,
    ): Promise<Either<Failure, undefined>> => {
      const point = resumeTokens.verify(token, clientAccount);
      if (point.isLeft()) {
        return Left(point.swap().unsafeCoerce());
      }
      const { upstream, generation } = point.unsafeCoerce();
      const engine = view().configuration.upstreams[upstream];
      return engine === undefined ? Right(undefined) : client.cancel(engine, generation);
    };
    const whileCounted = async <Value>(run: () => Promise<Value>): Promise<Value> => {
      const release = countOpenRequest();
      try {
        return await run();
      } finally {
        release();
      }
    };
    return {
      callerApi: {
        clientAccount: (id) => view().configuration.clientAccounts[id],
        addresses: (clientAccount, service) =>
          createAddressAnswer(
            { region, nodeSecret, random, wallMs: clock.wallMs },
            view(),
            clientAccount,
            service,
          ),
        generate,
        resume,
        cancel,
        call: async (request) => {
          counters.increment('calls');
          const answer = await whileCounted(() => plainCalls.call(request));
          answer.ifLeft(({ kind }) => {
            counters.increment('call-failures', 1, { kind });
          });
          return answer;
        },
        status: () => ({
          nodeId,
          processIncarnation: control().processIncarnation,
          revision: view().configuration.revision,
          refusesNewWork: view().refusesNewWork ?? null,
          openRequests: openRequests,
          inFlight: meter.totalRequests(),
          members: view().members.map(({ nodeId: member, status }) => ({ member, status })),
          counters: counters.totals(),
        }),
      },
      reports: {
        collectInFlight: meter.collectInFlight,
        collectVersionEvidence: meter.collectVersionEvidence,
        answerForward: (forward) => whileCounted(() => plainCalls.answerForward(forward)),
        openRequests: () => openRequests,
      },
      dropExpiredKeys: plainCalls.dropExpiredKeys,
    };
  },
};
