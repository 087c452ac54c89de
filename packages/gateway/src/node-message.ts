import type { EngineLoad, RolloutReport, UpstreamUse } from '@zinniagrade/serving';
import { z } from 'zod';

/**
 * A change of one store key, sent from node to node; an undefined value means that the key was
 * removed.
 */
export interface RelayedChange {
  readonly key: string;
  readonly revision: number;
  readonly value?: Buffer;
}

/**
 * How a node learns of store changes: `watching` the store, `fed` by other nodes, or `lost` (store
 * unavailable).
 */
export type StoreAccess = 'watching' | 'fed' | 'lost';

/** State that a node announces about itself. A newer state replaces an older one completely. */
export interface NodeState {
  readonly node: string;
  /** Start of the node's process, in Unix milliseconds; `sequence` restarts with it. */
  readonly incarnation: number;
  readonly sequence: number;
  readonly store: StoreAccess;
  readonly uses: readonly UpstreamUse[];
}

/** An engine's load, read `ageMs` ago. */
export interface SharedLoad {
  /** Node that read the load. */
  readonly node: string;
  readonly upstream: string;
  readonly ageMs: number;
  readonly load: EngineLoad;
}

/** A node's evidence on a rollout. */
export interface SharedReport {
  readonly node: string;
  readonly service: string;
  readonly report: RolloutReport;
}

/** A message between nodes. */
export type NodeMessage =
  | {
      readonly kind: 'state';
      readonly nodes: readonly NodeState[];
      readonly loads: readonly SharedLoad[];
      readonly reports: readonly SharedReport[];
      /** Set by relays: all nodes that the sender receives messages from. */
      readonly alive?: readonly string[];
      /** Store revision up to which the sender knows all changes. */
      readonly revision: number;
    }
  /** Requests the store changes after a revision. */
  | { readonly kind: 'pull'; readonly after: number }
  | {
      readonly kind: 'changes';
      readonly items: readonly RelayedChange[];
      readonly revision: number;
    };

/** Upstream, requests, prompt tokens, memory tokens, and the memory tokens of copies among them. */
const useRowSchema = z.tuple([z.string(), z.number(), z.number(), z.number(), z.number()]);

const stateSchema = z.object({
  node: z.string(),
  incarnation: z.number(),
  sequence: z.number(),
  store: z.enum(['watching', 'fed', 'lost']),
  uses: z.array(useRowSchema),
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

/**
 * Converts a message to its wire form; uses are rows without field names, as they are most of the
 * data.
 */
export const encodeNodeMessage = (message: NodeMessage): unknown =>
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

/** Validates a received message; undefined if it is malformed. */
export const decodeNodeMessage = (document: unknown): NodeMessage | undefined => {
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
