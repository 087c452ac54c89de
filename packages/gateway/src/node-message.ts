import type { EngineLoad, RolloutReport, UpstreamUse } from '@zinniagrade/serving';
import { z } from 'zod';
import type { KeyFinding } from './request-guard.js';
import type { LimitFinding } from './stated-limits.js';

/**
 * A change of one store key, sent from node to node; an undefined value means that the key was
 * removed.
 */
export interface RelayedChange {
  readonly key: string;
  readonly revision: number;
  readonly value?: Buffer;
}

/** Store changes that lead from one revision to a later one. */
export interface ChangeSet {
  readonly items: readonly RelayedChange[];
  /** A node that knows all changes up to here knows all up to `revision` with these items. */
  readonly after: number;
  readonly revision: number;
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
  /**
   * Services of which the node reaches no upstream. Undefined for a node of an earlier version, which
   * doesn't tell, and for all that a relay of such a version forwards.
   */
  readonly cutOff?: readonly string[];
  /**
   * Topics that the node takes part in, see `PeerTopic`. Undefined for a node of an earlier version,
   * and for all that a relay of such a version forwards.
   */
  readonly topics?: readonly string[];
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

/** What a node has seen of parts of a prompt, or of a whole request. */
export interface SharedFinding extends KeyFinding {
  readonly node: string;
}

/** What a node has learned of the limit that an upstream states. */
export interface SharedLimit extends LimitFinding {
  readonly node: string;
}

/** A row of a topic, see `PeerTopic`. */
export interface SharedRow {
  readonly node: string;
  readonly topic: string;
  readonly fields: readonly unknown[];
}

/** Updates that are forwarded once, each with the node that it comes from. */
export interface SharedUpdates {
  readonly loads: readonly SharedLoad[];
  readonly reports: readonly SharedReport[];
  readonly findings: readonly SharedFinding[];
  readonly limits: readonly SharedLimit[];
  readonly rows: readonly SharedRow[];
}

/** A message between nodes. */
export type NodeMessage =
  | (SharedUpdates & {
      readonly kind: 'state';
      readonly nodes: readonly NodeState[];
      /** Set by relays: all nodes that the sender receives messages from. */
      readonly alive?: readonly string[];
      /** Store revision up to which the sender knows all changes. */
      readonly revision: number;
      /** Digest of what the sender holds of the store; equal if two nodes hold the same. */
      readonly digest?: number;
      /**
       * For how long the sender knows, by its own calls, that the store had no outage. Undefined for a
       * node of an earlier version.
       */
      readonly storeAvailableForMs?: number;
    })
  /** Requests the store changes after a revision. */
  | { readonly kind: 'pull'; readonly after: number }
  | (ChangeSet & { readonly kind: 'changes' });

const reportSchema = z.object({
  target: z.string(),
  elapsedMs: z.number(),
  bad: z.string().optional(),
  newSends: z.number().optional(),
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

/** Messages that are rare; states are checked by hand, as each node reads many of them a second. */
const rareMessageSchema = z.discriminatedUnion('kind', [
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
    // Nodes of an earlier version don't state it, so what they send leaves no node up to date.
    after: z.number().default(Infinity),
    revision: z.number(),
  }),
]);

const sharedReportSchema = z.object({
  node: z.string(),
  service: z.string(),
  report: reportSchema,
});

/** Thrown within this module only: the message does not have the expected form. */
class MalformedMessage extends Error {}

const toText = (value: unknown): string => {
  if (typeof value !== 'string') {
    throw new MalformedMessage('expected a string');
  }
  return value;
};

const toNumber = (value: unknown): number => {
  if (typeof value !== 'number' || Number.isNaN(value)) {
    throw new MalformedMessage('expected a number');
  }
  return value;
};

const toRow = (value: unknown): readonly unknown[] => {
  if (!Array.isArray(value)) {
    throw new MalformedMessage('expected an array');
  }
  return value;
};

const isFields = (value: unknown): value is Readonly<Record<string, unknown>> =>
  typeof value === 'object' && value !== null;

const storeAccesses: readonly StoreAccess[] = ['watching', 'fed', 'lost'];

const toUse = (value: unknown): UpstreamUse => {
  const [upstream, requests, promptTokens, memoryTokens, copyTokens] = toRow(value);
  return {
    upstream: toText(upstream),
    requests: toNumber(requests),
    promptTokens: toNumber(promptTokens),
    memoryTokens: toNumber(memoryTokens),
    copyTokens: toNumber(copyTokens),
  };
};

const toState = (value: unknown): NodeState => {
  const [node, incarnation, sequence, access, uses, cutOff, topics] = toRow(value);
  const store = storeAccesses[toNumber(access)];
  if (store === undefined) {
    throw new MalformedMessage('unknown store access');
  }
  return {
    node: toText(node),
    incarnation: toNumber(incarnation),
    sequence: toNumber(sequence),
    store,
    uses: toRow(uses).map(toUse),
    ...(cutOff === undefined ? {} : { cutOff: toRow(cutOff).map(toText) }),
    ...(topics === undefined ? {} : { topics: toRow(topics).map(toText) }),
  };
};

const toSharedLoad = (value: unknown): SharedLoad => {
  const [node, upstream, ageMs, running, waiting, usedTokens, totalTokens, leaving, leavesInMs] =
    toRow(value);
  return {
    node: toText(node),
    upstream: toText(upstream),
    ageMs: toNumber(ageMs),
    load: {
      running: toNumber(running),
      waiting: toNumber(waiting),
      usedTokens: toNumber(usedTokens),
      totalTokens: toNumber(totalTokens),
      leaving: leaving === true,
      ...(leavesInMs === null || leavesInMs === undefined
        ? {}
        : { leavesInMs: toNumber(leavesInMs) }),
    },
  };
};

const toReport = (value: unknown): SharedReport => {
  const report = sharedReportSchema.safeParse(value);
  if (!report.success) {
    throw new MalformedMessage(report.error.message);
  }
  return report.data;
};

const toFinding = (value: unknown): SharedFinding => {
  const [node, keys, ageMs, upstream, witness, tookMs] = toRow(value);
  const finding = { node: toText(node), keys: toRow(keys).map(toText), ageMs: toNumber(ageMs) };
  if (upstream === null || upstream === undefined) {
    return finding;
  }
  // Nodes of an earlier version state neither the witness nor the duration.
  const loss = {
    upstream: toText(upstream),
    witness: toText(witness ?? node),
    tookMs: toNumber(tookMs ?? 0),
  };
  return { ...finding, loss };
};

const toLimit = (value: unknown): SharedLimit => {
  const [node, upstream, perSecond, ageMs, earlierSends] = toRow(value);
  return {
    node: toText(node),
    upstream: toText(upstream),
    ...(perSecond === null ? {} : { perSecond: toNumber(perSecond) }),
    ageMs: toNumber(ageMs),
    earlierSends: toNumber(earlierSends),
  };
};

const toSharedRow = (value: unknown): SharedRow => {
  const [node, topic, fields] = toRow(value);
  return { node: toText(node), topic: toText(topic), fields: toRow(fields) };
};

const toStateMessage = (fields: Readonly<Record<string, unknown>>): NodeMessage => ({
  kind: 'state',
  nodes: toRow(fields.nodes).map(toState),
  loads: toRow(fields.loads).map(toSharedLoad),
  reports: toRow(fields.reports).map(toReport),
  // Nodes of an earlier version send none.
  findings: toRow(fields.findings ?? []).map(toFinding),
  limits: toRow(fields.limits ?? []).map(toLimit),
  rows: toRow(fields.rows ?? []).map(toSharedRow),
  ...(fields.alive === undefined ? {} : { alive: toRow(fields.alive).map(toText) }),
  revision: toNumber(fields.revision),
  ...(fields.digest === undefined ? {} : { digest: toNumber(fields.digest) }),
  ...(fields.storeAvailableForMs === undefined
    ? {}
    : { storeAvailableForMs: toNumber(fields.storeAvailableForMs) }),
});

const toRareMessage = (document: unknown): NodeMessage | undefined => {
  const result = rareMessageSchema.safeParse(document);
  if (!result.success) {
    return undefined;
  }
  const message = result.data;
  return message.kind === 'pull'
    ? message
    : {
        ...message,
        items: message.items.map(({ value, ...item }) =>
          value === undefined ? item : { ...item, value: Buffer.from(value) },
        ),
      };
};

/**
 * Converts a message to its wire form. States, uses and loads are rows without field names, as they
 * are most of the data.
 */
export const encodeNodeMessage = (message: NodeMessage): unknown =>
  message.kind === 'state'
    ? {
        ...message,
        nodes: message.nodes.map(({ node, incarnation, sequence, store, uses, cutOff, topics }) => [
          node,
          incarnation,
          sequence,
          storeAccesses.indexOf(store),
          uses.map((use) => [
            use.upstream,
            use.requests,
            use.promptTokens,
            use.memoryTokens,
            use.copyTokens,
          ]),
          ...(cutOff === undefined ? [] : [cutOff]),
          // The place after the services stays empty only if there are none of these either.
          ...(cutOff === undefined || topics === undefined ? [] : [topics]),
        ]),
        loads: message.loads.map(({ node, upstream, ageMs, load }) => [
          node,
          upstream,
          ageMs,
          load.running,
          load.waiting,
          load.usedTokens,
          load.totalTokens,
          load.leaving,
          load.leavesInMs ?? null,
        ]),
        findings: message.findings.map(({ node, keys, ageMs, loss }) => [
          node,
          keys,
          ageMs,
          ...(loss === undefined ? [null] : [loss.upstream, loss.witness, loss.tookMs]),
        ]),
        limits: message.limits.map(({ node, upstream, perSecond, ageMs, earlierSends }) => [
          node,
          upstream,
          perSecond ?? null,
          ageMs,
          earlierSends,
        ]),
        rows: message.rows.map(({ node, topic, fields }) => [node, topic, fields]),
      }
    : message;

/** Validates a received message; undefined if it is malformed. */
export const decodeNodeMessage = (document: unknown): NodeMessage | undefined => {
  if (!isFields(document) || document.kind !== 'state') {
    return toRareMessage(document);
  }
  try {
    return toStateMessage(document);
  } catch (error) {
    if (error instanceof MalformedMessage) {
      return undefined;
    }
    throw error;
  }
};
