export interface NaiveUpstream {
  readonly id: string;
  readonly port: number;
  readonly services: readonly string[];
}

const pollIntervalMs = 200;

/**
 * Picks the upstream with the fewest open requests of this node. Learns only from the VM list which
 * upstreams are leaving.
 */
export interface NaiveUpstreams {
  readonly pick: (service: string, attempt: number) => NaiveUpstream | undefined;
  readonly find: (id: string) => NaiveUpstream | undefined;
  readonly countOpen: <Result>(
    upstream: NaiveUpstream,
    run: () => Promise<Result>,
  ) => Promise<Result>;
  readonly stop: () => void;
}

export const NaiveUpstreams = {
  create: (all: readonly NaiveUpstream[], platformPort?: number): NaiveUpstreams => {
    const openRequests = new Map<string, number>();
    let leaving = new Set<string>();
    const poll = async (): Promise<void> => {
      const answer = await fetch(`http://127.0.0.1:${platformPort ?? 0}/vms`);
      const { vms } = (await answer.json()) as { vms: { id: string; state: string }[] };
      leaving = new Set(vms.filter(({ state }) => state === 'leaving').map(({ id }) => id));
    };
    const timer = setInterval(() => {
      if (platformPort !== undefined) {
        poll().catch(() => undefined);
      }
    }, pollIntervalMs);
    return {
      pick: (service, attempt) => {
        const candidates = all.filter(
          ({ id, services }) => services.includes(service) && !leaving.has(id),
        );
        const sorted = [...candidates].sort(
          (a, b) => (openRequests.get(a.id) ?? 0) - (openRequests.get(b.id) ?? 0),
        );
        return sorted[attempt % sorted.length];
      },
      find: (id) => all.find((upstream) => upstream.id === id),
      countOpen: async ({ id }, run) => {
        openRequests.set(id, (openRequests.get(id) ?? 0) + 1);
        try {
          return await run();
        } finally {
          openRequests.set(id, (openRequests.get(id) ?? 1) - 1);
        }
      },
      stop: () => {
        clearInterval(timer);
      },
    };
  },
};
