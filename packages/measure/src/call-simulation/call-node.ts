import type { CallRequest } from '@zinniagrade/caller';
import type { Clock, Random } from '@zinniagrade/clock';
import type { NodeControl } from '@zinniagrade/control';
import type { ClaimStore } from '@zinniagrade/entry';
import {
  DataPath,
  chooseLeastLoaded,
  createStaticControl,
  worstCaseMemoryModel,
} from '@zinniagrade/entry';
import { errorResponses } from '@zinniagrade/errors';
import { Counters } from '@zinniagrade/logger';
import { naiveCall } from '@zinniagrade/naive';
import type { CallForward, Configuration, Member, ExecutionStatus } from '@zinniagrade/types';
import type { UpstreamClient } from '@zinniagrade/upstream';

/** A node's answer to a caller. */
export type CallReply =
  | { readonly kind: 'result'; readonly result: unknown }
  | { readonly kind: 'problem'; readonly ran: ExecutionStatus };

/** One process of an entry node, under either policy. */
export interface CallNode {
  readonly call: (request: CallRequest) => Promise<CallReply>;
  /** Returns an idempotency key issued by the node, or undefined if the policy issues none. */
  readonly issueTicket: (clientAccount: string, service: string) => string | undefined;
  readonly answerForward: (forward: CallForward) => ReturnType<CurrentForward>;
}

type CurrentForward = DataPath['reports']['answerForward'];

export interface CallNodeDependencies {
  readonly nodeId: string;
  readonly processIncarnation: number;
  readonly configuration: Configuration;
  /** Called for each `NodeView`, so that membership changes take effect. */
  readonly members: () => readonly Member[];
  readonly client: UpstreamClient;
  readonly claims: ClaimStore;
  readonly forwardCall: NodeControl['forwardCall'];
  readonly clock: Clock;
  readonly random: Random;
}

const nodeSecret = 'a secret shared by the nodes';

export const createCurrentNode = (dependencies: CallNodeDependencies): CallNode => {
  const { configuration, members, processIncarnation, forwardCall } = dependencies;
  const control = createStaticControl({ configuration }, { processIncarnation, forwardCall });
  const dataPath = DataPath.create({
    ...dependencies,
    region: 'r',
    nodeSecret,
    control: () => ({ ...control, view: () => ({ ...control.view(), members: members() }) }),
    counters: Counters.create(dependencies.nodeId),
    chooseUpstream: chooseLeastLoaded,
    memoryModel: worstCaseMemoryModel,
  });
  return {
    call: async (request) =>
      (await dataPath.callerApi.call(request)).caseOf<CallReply>({
        Left: ({ kind }) => ({ kind: 'problem', ran: errorResponses[kind].ran }),
        Right: (result) => ({ kind: 'result', result }),
      }),
    issueTicket: (clientAccount, service) =>
      dataPath.callerApi
        .addresses(clientAccount, service)
        .map(({ idempotencyKeys }) => idempotencyKeys[0])
        .orDefault(undefined),
    answerForward: dataPath.reports.answerForward,
  };
};

export const createNaiveNode = ({
  configuration,
  client,
  random,
}: CallNodeDependencies): CallNode => {
  const answers = new Map<string, unknown>();
  const upstreams = Object.values(configuration.upstreams);
  return {
    call: async ({ operation, arguments: callArguments, idempotencyKey = '' }) => {
      const firstIndex = Math.floor(random() * upstreams.length);
      const answer = await naiveCall(answers, idempotencyKey, async (attempt) => {
        const upstream = upstreams[(firstIndex + attempt) % upstreams.length];
        if (upstream === undefined) {
          throw new Error('the configuration has no upstream');
        }
        const call = { requestId: `${random()}`, operation, arguments: callArguments };
        const reply = await client.call(upstream, call);
        return reply.unsafeCoerce();
      });
      return answer.isDone
        ? { kind: 'result', result: answer.result }
        : { kind: 'problem', ran: 'not-run' };
    },
    issueTicket: () => undefined,
    answerForward: () =>
      Promise.resolve({ ok: false, error: 'internal', ran: 'unknown', detail: '' }),
  };
};
