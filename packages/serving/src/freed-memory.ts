/** Measures the rate at which generations of all nodes free memory of a service's engines. */
export interface FreedMemory {
  readonly record: (tokens: number, nowMs: number) => void;
  /** 0 if too few generations have ended lately to tell. */
  readonly tokensPerMs: (nowMs: number) => number;
}

/** Long generations run for about twice this time; bursts of one kind last as long. */
const windowMs = 5000;

/** With fewer, the rate would follow the length of single generations. */
const minGenerations = 5;

export const FreedMemory = {
  create: (): FreedMemory => {
    const freed: { readonly tokens: number; readonly atMs: number }[] = [];
    let sum = 0;
    return {
      record: (tokens, atMs) => {
        freed.push({ tokens, atMs });
        sum += tokens;
      },
      tokensPerMs: (nowMs) => {
        while ((freed[0]?.atMs ?? nowMs) < nowMs - windowMs) {
          sum -= freed.shift()?.tokens ?? 0;
        }
        return freed.length < minGenerations ? 0 : sum / windowMs;
      },
    };
  },
};

/** However much urgent requests take, running generations of others end too. */
const minRateShare = 0.1;

/** Rate at which memory becomes free to requests, beside what more urgent ones take. */
export const rateBeside = (freedPerMs: number, urgentPerMs: number): number =>
  Math.max(minRateShare * freedPerMs, freedPerMs - urgentPerMs);
