/** Prints what happened, and whether each checked promise held. */
export interface Reporter {
  readonly print: (text: string) => void;
  /** Prints the result of a check, and counts the promise as broken if it did not hold. */
  readonly check: (promise: string, held: boolean, detail: string) => void;
  readonly allHeld: () => boolean;
}

export const Reporter = {
  create: (write: (line: string) => void): Reporter => {
    const startedAt = performance.now();
    let brokenCount = 0;
    const print = (text: string): void => {
      const seconds = ((performance.now() - startedAt) / 1000).toFixed(1);
      write(`${seconds.padStart(5)} s  ${text}`);
    };
    return {
      print,
      check: (promise, held, detail) => {
        brokenCount += held ? 0 : 1;
        print(`${held ? 'held  ' : 'BROKEN'}  ${promise}: ${detail}`);
      },
      allHeld: () => brokenCount === 0,
    };
  },
};
