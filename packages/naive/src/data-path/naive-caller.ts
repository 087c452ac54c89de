const maxAttempts = 3;

export interface NaiveToken {
  readonly generation: string;
  readonly index: number;
  readonly text: string;
  /** Has the form `upstream/generation/index`. */
  readonly eventId: string;
}

export interface NaiveAnswer {
  readonly tokens: readonly NaiveToken[];
  readonly isComplete: boolean;
}

export interface NaiveCallOutcome {
  readonly result?: unknown;
  /** The execution status that the caller received for a call without a result. */
  readonly ran?: string;
}

/**
 * Retries every failed request at the next node, and appends all tokens that arrive without a
 * check.
 */
export const NaiveCaller = {
  create: (ports: readonly number[], credentials: string, timeoutMs: number) => {
    const headers = { authorization: `Bearer ${credentials}` };
    const urlForAttempt = (attempt: number): string =>
      `http://127.0.0.1:${ports[attempt % ports.length] ?? 0}`;

    /** True if the stream had an end event. */
    const readTokens = async (answer: Response, tokens: NaiveToken[], onToken: () => void) => {
      let text = '';
      const decoder = new TextDecoder();
      for await (const chunk of answer.body ?? []) {
        text += decoder.decode(chunk as Uint8Array, { stream: true });
        const events = text.split('\n\n');
        text = events.pop() ?? '';
        for (const event of events) {
          const [kind = '', id = '', data = ''] = event.split('\n');
          if (kind === 'event: end') {
            return true;
          }
          const token = JSON.parse(data.slice('data: '.length)) as NaiveToken;
          tokens.push({ ...token, eventId: id.slice('id: '.length) });
          onToken();
        }
      }
      return false;
    };

    return {
      generate: async (
        service: string,
        prompt: string,
        onToken: () => void = () => undefined,
      ): Promise<NaiveAnswer> => {
        const tokens: NaiveToken[] = [];
        for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
          try {
            const answer = await fetch(
              `${urlForAttempt(attempt)}/v1/services/${service}/generations`,
              {
                method: 'POST',
                headers,
                body: JSON.stringify({ prompt }),
              },
            );
            if (await readTokens(answer, tokens, onToken)) {
              return { tokens, isComplete: true };
            }
          } catch {
            continue;
          }
        }
        return { tokens, isComplete: false };
      },
      call: async (
        service: string,
        operation: string,
        callArguments: unknown,
        key: string,
      ): Promise<NaiveCallOutcome> => {
        let ran: string | undefined;
        for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
          try {
            const answer = await fetch(`${urlForAttempt(attempt)}/v1/services/${service}/calls`, {
              method: 'POST',
              headers: { ...headers, 'idempotency-key': key },
              body: JSON.stringify({ operation, arguments: callArguments }),
              signal: AbortSignal.timeout(timeoutMs),
            });
            const body = (await answer.json()) as { result?: unknown; ran?: string };
            if (answer.ok) {
              return { result: body.result };
            }
            ({ ran } = body);
          } catch {
            ran = 'not-run';
          }
        }
        return ran === undefined ? {} : { ran };
      },
    };
  },
};
