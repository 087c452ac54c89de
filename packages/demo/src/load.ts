import { CallerClient } from '@zinniagrade/caller';
import { errorResponses } from '@zinniagrade/errors';
import { hasAllTokensInOrder } from '@zinniagrade/proofs';
import type { ErrorKind, ExecutionStatus } from '@zinniagrade/types';
import type { System } from './system.js';
import { accountSecret, host } from './system.js';

export interface GenerationOutcome {
  readonly service: string;
  /** Whether all tokens of one generation arrived, each once and in order. */
  readonly hasAllTokensInOrder: boolean;
  readonly resumes: number;
  readonly tokensSeen: number;
  readonly error?: ErrorKind;
}

export interface CallOutcome {
  readonly order: string;
  /** True when the answer echoes another order. */
  readonly isCrossed: boolean;
  readonly executionStatus: ExecutionStatus | 'answered';
  readonly durationMs: number;
}

/** Outcomes of all requests since the start of the load. */
export interface Load {
  readonly generations: readonly GenerationOutcome[];
  readonly lookups: readonly CallOutcome[];
  readonly creditNotes: readonly CallOutcome[];
  /** Number of failed generations among the latest `recentCount`. */
  readonly recentFailureCount: () => number;
  /** Sends no more requests, and waits for those in flight. */
  readonly stop: () => Promise<void>;
}

/** Several callers, as each keeps using the addresses that a node has given it. */
const callerCount = 8;
const recentCount = 50;
const reportTokens = 120;
const verdictTokens = 4;
const reportIntervalMs = 150;
const verdictIntervalMs = 5;
const lookupIntervalMs = 50;
const creditNoteIntervalMs = 100;

export const startLoad = (system: System): Load => {
  const seeds = system.nodes.map(({ ready }) => ({ host, port: ready.callerPort ?? 0 }));
  const clients = Array.from({ length: callerCount }, (_, index) =>
    CallerClient.create({
      ...{ clientAccount: 'acme', secret: accountSecret },
      seeds: [...seeds.slice(index % seeds.length), ...seeds],
    }),
  );
  const nextClient = (): CallerClient => {
    const client = clients.shift();
    if (client === undefined) {
      throw new Error('no caller client is available');
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
    const answer = await nextClient().generate(service, {
      prompt: `cartridge ${orders} tokens=${tokens}`,
      maxTokens: tokens,
      onToken: () => {
        tokensSeen += 1;
      },
    });
    generations.push(
      answer.caseOf<GenerationOutcome>({
        Left: ({ kind }) => ({
          service,
          hasAllTokensInOrder: false,
          resumes: 0,
          tokensSeen,
          error: kind,
        }),
        Right: (complete) => ({
          ...{ service, hasAllTokensInOrder: hasAllTokensInOrder(complete.tokens, tokens) },
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
    const answer = await nextClient().call(service, {
      operation,
      arguments: { order },
      idempotent,
    });
    const durationMs = performance.now() - startedAt;
    outcomes.push(
      answer.caseOf<CallOutcome>({
        Left: ({ kind }) => ({
          order,
          isCrossed: false,
          executionStatus: errorResponses[kind].ran,
          durationMs,
        }),
        Right: (result) => {
          const { echo } = result as { readonly echo?: { readonly order?: string } };
          return {
            order,
            isCrossed: echo?.order !== order,
            executionStatus: 'answered',
            durationMs,
          };
        },
      }),
    );
  };

  const runEvery = (intervalMs: number, run: () => Promise<void>): NodeJS.Timeout =>
    setInterval(() => {
      const promise = run().finally(() => running.delete(promise));
      running.add(promise);
    }, intervalMs);
  const timers = [
    runEvery(reportIntervalMs, () => generate('condition-reports', reportTokens)),
    runEvery(verdictIntervalMs, () => generate('reuse-verdicts', verdictTokens)),
    runEvery(lookupIntervalMs, () => call('status-lookups', 'status', true, lookups)),
    runEvery(creditNoteIntervalMs, () => call('credit-notes', 'issue', false, creditNotes)),
  ];
  return {
    generations,
    lookups,
    creditNotes,
    recentFailureCount: () =>
      generations.slice(-recentCount).filter(({ error }) => error !== undefined).length,
    stop: async () => {
      timers.forEach(clearInterval);
      await Promise.all(running);
      await Promise.all(clients.map((client) => client.close()));
    },
  };
};
