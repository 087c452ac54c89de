/**
 * The longest timeout that callers of each route have stated. A request with a shorter one is taken
 * to be a retry: part of its time was used up before.
 */
export interface StatedTimeouts {
  /** Records a stated timeout and returns the longest one of the route so far. */
  readonly recordLongest: (route: string, statedMs: number) => number;
}

export const StatedTimeouts = {
  create: (): StatedTimeouts => {
    const longestByRoute = new Map<string, number>();
    return {
      recordLongest: (route, statedMs) => {
        const longest = Math.max(longestByRoute.get(route) ?? 0, statedMs);
        longestByRoute.set(route, longest);
        return longest;
      },
    };
  },
};
