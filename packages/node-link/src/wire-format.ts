import type { UpstreamUsage, NodeMessage, UpstreamLimit } from '@zinniagrade/types';

/**
 * Credit demands and grants are sent as rows without field names: with 730 nodes, a node sends about
 * 170 of them a second, and field names would make up most of the bytes.
 */
type Row = readonly unknown[];

const usageToRow = (usage: UpstreamUsage): Row => {
  const row = [
    usage.upstream,
    usage.requests,
    usage.memoryTokens,
    usage.wantedRequests,
    usage.wantedMemoryTokens,
    usage.completed,
    usage.failed,
    usage.firstTokenMs ?? null,
    usage.betweenTokensMs ?? null,
    usage.warm ?? null,
  ];
  // Trailing zeros and absent values are left out, which shortens the rows of idle upstreams.
  while (row.length > 1 && (row.at(-1) === null || row.at(-1) === 0)) {
    row.pop();
  }
  return row;
};

const limitToRow = ({ upstream, slots, memoryTokens, validMs, warm }: UpstreamLimit): Row => [
  upstream,
  slots,
  memoryTokens,
  validMs,
  warm,
];

const withoutNulls = (
  fields: Readonly<Record<string, unknown>>,
): Readonly<Record<string, unknown>> =>
  Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== null));

const usageFromRow = (row: Row): unknown => ({
  upstream: row[0],
  requests: row[1] ?? 0,
  memoryTokens: row[2] ?? 0,
  wantedRequests: row[3] ?? 0,
  wantedMemoryTokens: row[4] ?? 0,
  completed: row[5] ?? 0,
  failed: row[6] ?? 0,
  ...withoutNulls({
    firstTokenMs: row[7] ?? null,
    betweenTokensMs: row[8] ?? null,
    warm: row[9] ?? null,
  }),
});

const limitFromRow = ([upstream, slots, memoryTokens, validMs, warm]: Row): unknown => ({
  upstream,
  slots,
  memoryTokens,
  validMs,
  warm,
});

const demandTag = 'd';
const grantTag = 'g';

/** Encodes a message as the document of a frame. */
export const toWire = (message: NodeMessage): unknown => {
  switch (message.kind) {
    case 'credit-demand': {
      const { sequence, oldestUsable, inFlight } = message;
      return [demandTag, sequence, oldestUsable ?? null, inFlight.map(usageToRow)];
    }
    case 'credit-grant':
      return [grantTag, message.sequence, message.limits.map(limitToRow)];
    default:
      return message;
  }
};

const fromRows = (rows: unknown, fromRow: (row: Row) => unknown): unknown =>
  Array.isArray(rows)
    ? rows.map((row: unknown) => (Array.isArray(row) ? fromRow(row as Row) : row))
    : rows;

/** Decodes the document of a frame. The caller has to check the result against the schema. */
export const fromWire = (document: unknown): unknown => {
  if (!Array.isArray(document)) {
    return document;
  }
  const [tag, sequence, third, fourth] = document as readonly unknown[];
  if (tag === demandTag) {
    return {
      kind: 'credit-demand',
      sequence,
      ...withoutNulls({ oldestUsable: third ?? null }),
      inFlight: fromRows(fourth, usageFromRow),
    };
  }
  return tag === grantTag
    ? { kind: 'credit-grant', sequence, limits: fromRows(third, limitFromRow) }
    : document;
};
