/** The longest time that callers of a route say they wait: a shorter one shows that they have asked before. */
export interface StatedWaits {
  /** Takes in a stated time and returns the longest one so far, in milliseconds. */
  readonly longest: (route: string, statedMs: number) => number;
}

export const StatedWaits = {
  create: (): StatedWaits => {
    const longestByRoute = new Map<string, number>();
    return {
      longest: (route, statedMs) => {
        const longest = Math.max(longestByRoute.get(route) ?? 0, statedMs);
        longestByRoute.set(route, longest);
        return longest;
      },
    };
  },
};
