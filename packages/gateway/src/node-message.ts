import type { EngineLoad, UpstreamUse } from '@zinniagrade/serving';
import { z } from 'zod';

/** One item of the store as a node passes it on; without a value the key was removed. */
export interface RelayedItem {
  readonly key: string;
  readonly revision: number;
  readonly value?: Buffer;
}

/** What nodes tell each other. */
export type NodeMessage =
  /** All that the sender has at upstreams, and how far it has read the store. */
  | { readonly kind: 'use'; readonly uses: readonly UpstreamUse[]; readonly revision: number }
  /** An engine's load, read by the sender `ageMs` ago. */
  | {
      readonly kind: 'load';
      readonly upstream: string;
      readonly ageMs: number;
      readonly load: EngineLoad;
    }
  /** Asks for what changed in the store after a revision. */
  | { readonly kind: 'pull'; readonly after: number }
  | { readonly kind: 'changes'; readonly items: readonly RelayedItem[]; readonly revision: number };

const useSchema = z.object({
  upstream: z.string(),
  requests: z.number(),
  promptTokens: z.number(),
  memoryTokens: z.number(),
  copyTokens: z.number(),
});

const loadSchema = z.object({
  running: z.number(),
  waiting: z.number(),
  usedTokens: z.number(),
  totalTokens: z.number(),
  leaving: z.boolean(),
  leavesInMs: z.number().optional(),
  startedAt: z.number(),
  runs: z.array(z.object({ requestId: z.string(), memoryTokens: z.number(), events: z.number() })),
});

const messageSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('use'), uses: z.array(useSchema), revision: z.number() }),
  z.object({
    kind: z.literal('load'),
    upstream: z.string(),
    ageMs: z.number(),
    load: loadSchema,
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

/** Checks a message of another node; undefined where it isn't one. */
export const readNodeMessage = (document: unknown): NodeMessage | undefined => {
  const result = messageSchema.safeParse(document);
  if (!result.success) {
    return undefined;
  }
  const message = result.data;
  switch (message.kind) {
    case 'load':
      return { ...message, load: toLoad(message.load) };
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
