import { CallerClient } from '@zinniagrade/caller';
import { errorResponses } from '@zinniagrade/errors';
import { NaiveCaller } from '@zinniagrade/naive';
import type { ExecutionStatus } from '@zinniagrade/types';
import { accountSecret } from '../data-path/fixture.js';
import type { Policy } from '../proof.js';

export interface GenerationResult {
  readonly texts: readonly string[];
  readonly isComplete: boolean;
  readonly resumes: number;
  /** Error of a generation that did not complete. */
  readonly failure?: string;
}

export interface CallResult {
  /** The arguments as the service echoed them. */
  readonly echo?: unknown;
  readonly executionStatus?: ExecutionStatus;
}

/** A caller that uses the client library of either policy. */
export interface TestCaller {
  readonly generate: (
    prompt: string,
    options?: { readonly restart?: boolean; readonly onToken?: () => void },
  ) => Promise<GenerationResult>;
  readonly call: (operation: 'issue' | 'status', order: string) => Promise<CallResult>;
  readonly close: () => Promise<void>;
}

/** A request refused with a retriable error is retried for this long. */
const retryWindowMs = 10_000;
const retryDelayMs = 200;

interface EchoResult {
  readonly echo?: unknown;
}

const createNaive = (ports: readonly number[], timeoutMs: number): TestCaller => {
  const caller = NaiveCaller.create(ports, `acme.${accountSecret}`, timeoutMs);
  return {
    generate: async (prompt, { onToken } = {}) => {
      const { tokens, isComplete } = await caller.generate('reports', prompt, onToken);
      return { texts: tokens.map(({ text }) => text), isComplete, resumes: 0 };
    },
    call: async (operation, order) => {
      const outcome = await caller.call('notes', operation, { order }, `key-${order}`);
      const { echo } = (outcome.result ?? {}) as EchoResult;
      return { echo, ...(outcome.ran === 'not-run' ? { executionStatus: 'not-run' } : {}) };
    },
    close: () => Promise.resolve(),
  };
};

const createCurrent = (ports: readonly number[]): TestCaller => {
  const seeds = ports.map((port) => ({ host: '127.0.0.1', port }));
  const client = CallerClient.create({ clientAccount: 'acme', secret: accountSecret, seeds });
  return {
    generate: async (prompt, { restart = false, onToken = () => undefined } = {}) => {
      let texts: string[] = [];
      const onText = (text: string): void => {
        texts.push(text);
        onToken();
      };
      const onRestart = (): void => {
        texts = [];
      };
      const endAt = performance.now() + retryWindowMs;
      for (;;) {
        const answer = await client.generate('reports', {
          ...{ prompt, restart, onToken: onText, onRestart },
        });
        if (answer.isRight()) {
          const { tokens, resumes } = answer.unsafeCoerce();
          return { texts: tokens, isComplete: true, resumes };
        }
        const { kind, detail } = answer.swap().unsafeCoerce();
        const mayRetry = errorResponses[kind].retriable && (restart || texts.length === 0);
        if (!mayRetry || performance.now() > endAt) {
          return { texts, isComplete: false, resumes: 0, failure: `${kind}: ${detail}` };
        }
        onRestart();
        await new Promise((resolve) => setTimeout(resolve, retryDelayMs));
      }
    },
    call: async (operation, order) => {
      const idempotent = operation === 'status';
      const answer = await client.call('notes', { operation, arguments: { order }, idempotent });
      return answer.caseOf<CallResult>({
        Left: ({ kind }) => ({ executionStatus: errorResponses[kind].ran }),
        Right: (result) => ({ echo: (result as EchoResult).echo }),
      });
    },
    close: () => client.close(),
  };
};

export const TestCaller = {
  /** `timeoutMs` is the call timeout of the naive caller; the current one does not use it. */
  create: (policy: Policy, ports: readonly number[], timeoutMs = 3_000): TestCaller =>
    policy === 'naive' ? createNaive(ports, timeoutMs) : createCurrent(ports),
};

/**
 * Whether the texts are all tokens of one generation of the engine stand-in, each once and in
 * order.
 */
export const hasAllTokensInOrder = (texts: readonly string[], tokens: number): boolean =>
  texts.length === tokens && hasTokensInOrder(texts);

/** Whether the texts are the first tokens of one generation, each once and in order. */
export const hasTokensInOrder = (texts: readonly string[]): boolean => {
  const [generation = ''] = (texts[0] ?? '').split('/');
  return texts.every((text, index) => text === `${generation}/${index} `);
};
