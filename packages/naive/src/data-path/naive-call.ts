const maxAttempts = 3;

export type NaiveCallResult =
  { readonly isDone: true; readonly result: unknown } | { readonly isDone: false };

/**
 * Retries on any failure. Only a received answer is kept for repeats of the idempotency key, and only
 * in the memory of this process.
 */
export const naiveCall = async (
  answers: Map<string, unknown>,
  key: string | undefined,
  send: (attempt: number) => Promise<unknown>,
): Promise<NaiveCallResult> => {
  if (key !== undefined && answers.has(key)) {
    return { isDone: true, result: answers.get(key) };
  }
  for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
    try {
      const result = await send(attempt);
      if (key !== undefined) {
        answers.set(key, result);
      }
      return { isDone: true, result };
    } catch {
      continue;
    }
  }
  return { isDone: false };
};
