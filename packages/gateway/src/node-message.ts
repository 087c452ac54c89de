import type { EngineLoad, RolloutReport, UpstreamUse } from '@zinniagrade/serving';
import { z } from 'zod';

/** One item of the store as a node passes it on; without a value the key was removed. */
export interface RelayedItem {
  readonly key: string;
  readonly revision: number;
  readonly value?: Buffer;
}

/** How a node learns of changes in the store: from the store itself, from other nodes, or not at all. */
export type StoreAccess = 'watching' | 'fed' | 'lost';

/** What one node says of itself. A newer one replaces an older one as a whole. */
export interface NodeState {
  readonly node: string;
  /** Start of its process, in Unix milliseconds; numbers of announcements begin anew with it. */
  readonly incarnation: number;
  readonly sequence: number;
  readonly store: StoreAccess;
  readonly uses: readonly UpstreamUse[];
}

/** An engine's load, read `ageMs` ago. */
export interface SharedLoad {
  /** Node that read it. */
  readonly node: string;
  readonly upstream: string;
  readonly ageMs: number;
  readonly load: EngineLoad;
}

/** What one node has seen of a rollout. */
export interface SharedReport {
  readonly node: string;
  readonly service: string;
  readonly report: RolloutReport;
}

/** What nodes tell each other. */
export type NodeMessage =
  | {
      readonly kind: 'state';
      readonly nodes: readonly NodeState[];
      readonly loads: readonly SharedLoad[];
      readonly reports: readonly SharedReport[];
      /** From relays: all nodes that the sender hears from. */
      readonly alive?: readonly string[];
      /** How far the sender knows the store. */
      readonly revision: number;
    }
  /** Asks for what changed in the store after a revision. */
  | { readonly kind: 'pull'; readonly after: number }
  | { readonly kind: 'changes'; readonly items: readonly RelayedItem[]; readonly revision: number };

/** Upstream, requests, prompt tokens, memory tokens and the copies' part of them. */
const useRow = z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()]);

const stateSchema = z.object({
  node: z.string(),
  incarnation: z.number(),
  sequence: z.number(),
  store: z.enum(['watching', 'fed', 'lost']),
  uses: z.array(useRow),
});

const loadSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  usedTokens: z.number(),
  totalTokens: z.number(),
  leaving: z.boolean(),
  leavesInMs: z.number().optional(),
});

const reportSchema = z.object({
  target: z.string(),
  elapsedMs: z.number(),
  bad: z.string().optional(),
  evidence: z.array(
    z.object({
      version: z.string(),
      service: z.string(),
      route: z.string(),
      succeeded: z.number(),
      failed: z.number(),
      firstTokenCounts: z.array(z.number()),
      betweenTokensCounts: z.array(z.number()),
    }),
  ),
});

const messageSchema = z.discriminatedUnion('kind', [
  z.object({
    kind: z.literal('state'),
    nodes: z.array(stateSchema),
    loads: z.array(
      z.object({ node: z.string(), upstream: z.string(), ageMs: z.number(), load: loadSchema }),
    ),
    reports: z.array(z.object({ node: z.string(), service: z.string(), report: reportSchema })),
    alive: z.array(z.string()).optional(),
    revision: z.number(),
  }),
  z.object({ kind: z.literal('pull'), after: z.number() }),
  z.object({
    kind: z.literal('changes'),
    items: z.array(
      z.object({
        key: z.string(),
        revision: z.number(),
        value: z.instanceof(Uint8Array).optional(),
      }),
    ),
    revision: z.number(),
  }),
]);

const toLoad = (load: z.infer<typeof loadSchema>): EngineLoad => {
  const { leavesInMs, ...rest } = load;
  return leavesInMs === undefined ? rest : { ...rest, leavesInMs };
};

const toState = (state: z.infer<typeof stateSchema>): NodeState => ({
  ...state,
  uses: state.uses.map(([upstream, requests, promptTokens, memoryTokens, copyTokens]) => ({
    upstream,
    requests,
    promptTokens,
    memoryTokens,
    copyTokens,
  })),
});

/** Writes a message in the form that goes over a link; uses go as rows, as they are most of it. */
export const writeNodeMessage = (message: NodeMessage): unknown =>
  message.kind === 'state'
    ? {
        ...message,
        nodes: message.nodes.map((state) => ({
          ...state,
          uses: state.uses.map((use) => [
            use.upstream,
            use.requests,
            use.promptTokens,
            use.memoryTokens,
            use.copyTokens,
          ]),
        })),
      }
    : message;

/** Checks a message of another node; undefined where it isn't one. */
export const readNodeMessage = (document: unknown): NodeMessage | undefined => {
  const result = messageSchema.safeParse(document);
  if (!result.success) {
    return undefined;
  }
  const message = result.data;
  switch (message.kind) {
    case 'state': {
      const { alive, ...rest } = message;
      return {
        ...rest,
        ...(alive === undefined ? {} : { alive }),
        nodes: message.nodes.map(toState),
        loads: message.loads.map((shared) => ({ ...shared, load: toLoad(shared.load) })),
      };
    }
    case 'changes':
      return {
        ...message,
        items: message.items.map(({ value, ...item }) =>
          value === undefined ? item : { ...item, value: Buffer.from(value) },
        ),
      };
    default:
      return message;
  }
};
