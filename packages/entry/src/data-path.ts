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
import { createAdmit } from './admission-queue.js';
import type { ChooseUpstream } from './choose-upstream.js';
import type { MemoryModel } from './memory-model.js';
import { promptTokensOf } from './memory-model.js';
import type { PlacementRequest } from './placement.js';
import { createPlace } from './placement.js';
import { createPlainCalls } from './plain-calls.js';
import { createVersionDraw } from './version-draw.js';
import { WorkMeter } from './work-meter.js';

/** Tokens of output when a request names no bound. */
export const defaultMaxTokens = 1024;
export interface DataPathParts {
  readonly nodeId: NodeId;
  readonly region: RegionId;
  /** Shared by the nodes; signs tickets and resume tokens. */
  readonly nodeSecret: string;
  /** Read for each request, because control is created with the reports of the data path. */
  readonly control: () => NodeControl;
  readonly client: UpstreamClient;
  readonly claims: ClaimStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly counters: Counters;
  readonly choose: ChooseUpstream;
  /** Expected memory of generations. */
  readonly estimateMemory: MemoryModel;
}

/** The data path of a node: what its callers reach, and what its control reads. */
export interface DataPath {
  readonly front: CallerApi;
  readonly reports: DataPathReports;
  /** Forgets expired keys; to be called now and then. */
  readonly dropExpired: () => void;
}

const idleControl: StreamControl = { drained: () => undefined, callerGone: () => undefined };

export const DataPath = {
  create: (parts: DataPathParts): DataPath => {
    const { nodeId, region, nodeSecret, control, client, claims, clock, random, counters } = parts;
    const view = (): ReturnType<NodeControl['view']> => control().view();
    const memory = parts.estimateMemory;
    const meter = WorkMeter.create(memory, clock.monotonicMs);
    const tokens = ResumeTokens.create(nodeSecret);
    const place = createPlace({
      view,
      meter,
      clock,
      random,
      choose: parts.choose,
      reportLeaving: (upstream) => {
        control().reportLeavingUpstream(upstream);
      },
    });
    const admit = createAdmit({ place, view, clock });
    const drawVersion = createVersionDraw(view, clock, random);
    const relayParts = { admit, client, tokens, clock };
    const calls = createPlainCalls({
      nodeId,
      nodeSecret,
      control,
      claims,
      clock,
      admit,
      client,
      drawVersion,
    });
    let open = 0;
    const enter = (): (() => void) => {
      open += 1;
      return () => {
        open -= 1;
      };
    };
    const refuse = (output: StreamOutput, failure: Failure): StreamControl => {
      counters.increment('refused', 1, { kind: failure.kind });
      output.fail(failure);
      return idleControl;
    };
    const generate = (request: GenerationRequest, output: StreamOutput): StreamControl => {
      const service = view().configuration.services[request.service];
      if (service?.kind !== 'generation') {
        return refuse(
          output,
          Failure.create('not-found', `no generation service ${request.service}`),
        );
      }
      counters.increment('generations');
      const maxTokens = request.maxTokens ?? defaultMaxTokens;
      const length = { promptTokens: promptTokensOf(request.prompt), maxTokens };
      const placement: PlacementRequest = {
        ...length,
        id: randomUUID(),
        service,
        clientAccount: request.clientAccount,
        route: 'generate',
        memory: memory.curveOf({ ...length, service, tokensSoFar: 0 }),
        prompt: request.prompt,
        drawnForNew: drawVersion(service),
        arrivedAt: clock.monotonicMs(),
      };
      return startRelay(
        relayParts,
        { kind: 'new', request, service, placement, maxTokens },
        output,
        enter(),
      );
    };
    const resume = (
      clientAccount: ClientAccountId,
      token: string,
      output: StreamOutput,
    ): StreamControl =>
      tokens.verify(token, clientAccount).caseOf({
        Left: (failure) => refuse(output, failure),
        Right: (point) => {
          const { configuration, refusesNewWork } = view();
          const upstream = configuration.upstreams[point.upstream];
          const service = configuration.services[point.service];
          if (refusesNewWork === 'leaving') {
            return refuse(output, Failure.create('leaving', 'resume at another node'));
          }
          if (upstream === undefined || service === undefined) {
            return refuse(
              output,
              Failure.create('generation-lost', `the upstream ${point.upstream} is gone`),
            );
          }
          counters.increment('resumes');
          // Work that the upstream has already is counted whether or not the limits have room.
          const work = meter.enter(
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
            relayParts,
            { kind: 'resumed', point, upstream, work },
            output,
            enter(),
          );
        },
      });
    const cancel = async (
      clientAccount: ClientAccountId,
      token: string,
    ): Promise<Either<Failure, undefined>> => {
      const point = tokens.verify(token, clientAccount);
      if (point.isLeft()) {
        return Left(point.swap().unsafeCoerce());
      }
      const { upstream, generation } = point.unsafeCoerce();
      const engine = view().configuration.upstreams[upstream];
      return engine === undefined ? Right(undefined) : client.cancel(engine, generation);
    };
    const counted = async <Value>(run: () => Promise<Value>): Promise<Value> => {
      const leave = enter();
      try {
        return await run();
      } finally {
        leave();
      }
    };
    return {
      front: {
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
          const answer = await counted(() => calls.call(request));
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
          openRequests: open,
          inFlight: meter.totalRequests(),
          members: view().members.map(({ nodeId: member, status }) => ({ member, status })),
          counters: counters.totals(),
        }),
      },
      reports: {
        takeInFlight: meter.takeInFlight,
        takeVersionEvidence: meter.takeVersionEvidence,
        answerForward: (forward) => counted(() => calls.answerForward(forward)),
        openRequests: () => open,
      },
      dropExpired: calls.dropExpired,
    };
  },
};
