import { CallerClient } from '@zinniagrade/caller';
import { errorResponses } from '@zinniagrade/errors';
import { isWhole } from '@zinniagrade/proofs';
import type { ErrorKind, ExecutionStatus } from '@zinniagrade/types';
import type { System } from './system.js';
import { accountSecret, host } from './system.js';

export interface GenerationOutcome {
  readonly service: string;
  /** All tokens once, in order, of one generation. */
  readonly isWhole: boolean;
  readonly resumes: number;
  readonly tokensSeen: number;
  readonly error?: ErrorKind;
}

export interface CallOutcome {
  readonly order: string;
  /** True when the answer echoes another order. */
  readonly isCrossed: boolean;
  readonly ran: ExecutionStatus | 'answered';
  readonly tookMs: number;
}

/** What callers did and saw since the start of the load. */
export interface Load {
  readonly generations: readonly GenerationOutcome[];
  readonly lookups: readonly CallOutcome[];
  readonly creditNotes: readonly CallOutcome[];
  /** Refusals among the latest generations. */
  readonly recentRefusals: () => number;
  /** Stops new requests and waits for those that run. */
  readonly stop: () => Promise<void>;
}

/** Each caller keeps the addresses that it was given. */
const callerCount = 8;
const recentCount = 50;
const reportTokens = 120;
const verdictTokens = 4;
const reportEveryMs = 150;
const verdictEveryMs = 5;
const lookupEveryMs = 50;
const creditNoteEveryMs = 100;

export const startLoad = (system: System): Load => {
  const seeds = system.nodes.map(({ ready }) => ({ host, port: ready.callerPort ?? 0 }));
  const clients = Array.from({ length: callerCount }, (_, index) =>
    CallerClient.create({
      ...{ clientAccount: 'acme', secret: accountSecret },
      seeds: [...seeds.slice(index % seeds.length), ...seeds],
    }),
  );
  const anyClient = (): CallerClient => {
    const client = clients.shift();
    if (client === undefined) {
      throw new Error('there is no caller');
    }
    clients.push(client);
    return client;
  };
  const generations: GenerationOutcome[] = [];
  const lookups: CallOutcome[] = [];
  const creditNotes: CallOutcome[] = [];
  const running = new Set<Promise<void>>();
  let orders = 0;

  const generate = async (service: string, tokens: number): Promise<void> => {
    let tokensSeen = 0;
    const answer = await anyClient().generate(service, {
      prompt: `cartridge ${orders} tokens=${tokens}`,
      maxTokens: tokens,
      onToken: () => {
        tokensSeen += 1;
      },
    });
    generations.push(
      answer.caseOf<GenerationOutcome>({
        Left: ({ kind }) => ({ service, isWhole: false, resumes: 0, tokensSeen, error: kind }),
        Right: (complete) => ({
          ...{ service, isWhole: isWhole(complete.tokens, tokens) },
          ...{ resumes: complete.resumes, tokensSeen },
        }),
      }),
    );
  };

  const call = async (
    service: string,
    operation: string,
    idempotent: boolean,
    outcomes: CallOutcome[],
  ): Promise<void> => {
    orders += 1;
    const order = `${orders}`;
    const startedAt = performance.now();
    const answer = await anyClient().call(service, { operation, arguments: { order }, idempotent });
    const tookMs = performance.now() - startedAt;
    outcomes.push(
      answer.caseOf<CallOutcome>({
        Left: ({ kind }) => ({ order, isCrossed: false, ran: errorResponses[kind].ran, tookMs }),
        Right: (result) => {
          const { echo } = result as { readonly echo?: { readonly order?: string } };
          return { order, isCrossed: echo?.order !== order, ran: 'answered', tookMs };
        },
      }),
    );
  };

  const every = (intervalMs: number, run: () => Promise<void>): NodeJS.Timeout =>
    setInterval(() => {
      const promise = run().finally(() => running.delete(promise));
      running.add(promise);
    }, intervalMs);
  const timers = [
    every(reportEveryMs, () => generate('condition-reports', reportTokens)),
    every(verdictEveryMs, () => generate('reuse-verdicts', verdictTokens)),
    every(lookupEveryMs, () => call('status-lookups', 'status', true, lookups)),
    every(creditNoteEveryMs, () => call('credit-notes', 'issue', false, creditNotes)),
  ];
  return {
    generations,
    lookups,
    creditNotes,
    recentRefusals: () =>
      generations.slice(-recentCount).filter(({ error }) => error !== undefined).length,
    stop: async () => {
      timers.forEach(clearInterval);
      await Promise.all(running);
      await Promise.all(clients.map((client) => client.close()));
    },
  };
};
