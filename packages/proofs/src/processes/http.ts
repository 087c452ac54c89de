/** Sends a POST with a JSON body, or a GET without a body, and returns the parsed response. */
export const requestJson = async <Body>(
  port: number,
  path: string,
  body?: unknown,
): Promise<Body> => {
  const response = await fetch(`http://127.0.0.1:${port}${path}`, {
    ...(body === undefined ? {} : { method: 'POST', body: JSON.stringify(body) }),
  });
  if (!response.ok) {
    throw new Error(`${path} answered ${response.status}: ${await response.text()}`);
  }
  return (await response.json()) as Body;
};

/** Polls a condition until it holds; returns false if it still does not hold after the timeout. */
export const waitUntil = async (
  condition: () => boolean | Promise<boolean>,
  timeoutMs: number,
  pollIntervalMs = 20,
): Promise<boolean> => {
  const endAt = performance.now() + timeoutMs;
  while (performance.now() < endAt) {
    if (await condition()) {
      return true;
    }
    await new Promise((resolve) => setTimeout(resolve, pollIntervalMs));
  }
  return condition();
};
