/** Measures the time per token of one engine's part of a stream. */
export interface TokenTimes {
  /** To be called with the time of each event. */
  readonly onEvent: (atMs: number) => void;
}

export interface TokenTimesOptions {
  readonly tokensPerEvent: number;
  /** Requests at the engine now. */
  readonly batch: () => number;
  readonly record: (msPerToken: number, batch: number, nowMs: number) => void;
}

/** Long enough for a steady mean, and short beside the time in which engines change their speed. */
const windowMs = 2000;
const minEvents = 8;

export const TokenTimes = {
  create: ({ tokensPerEvent, batch, record }: TokenTimesOptions): TokenTimes => {
    let startedAtMs: number | undefined;
    let startBatch = 0;
    let events = 0;
    return {
      onEvent: (atMs) => {
        if (startedAtMs === undefined) {
          startedAtMs = atMs;
          startBatch = batch();
          return;
        }
        events += 1;
        const tookMs = atMs - startedAtMs;
        if (tookMs < windowMs || events < minEvents) {
          return;
        }
        const endBatch = batch();
        const msPerToken = tookMs / (events * Math.max(1, tokensPerEvent));
        record(msPerToken, (startBatch + endBatch) / 2, atMs);
        startedAtMs = atMs;
        startBatch = endBatch;
        events = 0;
      },
    };
  },
};
