import type { UpstreamUsage, NodeMessage, UpstreamLimit } from '@zinniagrade/types';

/**
 * Demands and grants go out as rows without field names: at 730 nodes a node sends about 170 of them
 * a second, and the names would take most of its bytes.
 */
type DemandRow = readonly unknown[];

const demandRow = (entry: UpstreamUsage): DemandRow => {
  const row = [
    entry.upstream,
    entry.requests,
    entry.memoryTokens,
    entry.wantedRequests,
    entry.wantedMemoryTokens,
    entry.completed,
    entry.failed,
    entry.firstTokenMs ?? null,
    entry.betweenTokensMs ?? null,
    entry.warm ?? null,
  ];
  // Trailing zeros and absent values of an idle upstream are left out.
  while (row.length > 1 && (row.at(-1) === null || row.at(-1) === 0)) {
    row.pop();
  }
  return row;
};

const limitRow = ({ upstream, slots, memoryTokens, validMs, warm }: UpstreamLimit): DemandRow => [
  upstream,
  slots,
  memoryTokens,
  validMs,
  warm,
];

const present = (fields: Readonly<Record<string, unknown>>): Readonly<Record<string, unknown>> =>
  Object.fromEntries(Object.entries(fields).filter(([, value]) => value !== null));

const demandEntry = (row: DemandRow): unknown => ({
  upstream: row[0],
  requests: row[1] ?? 0,
  memoryTokens: row[2] ?? 0,
  wantedRequests: row[3] ?? 0,
  wantedMemoryTokens: row[4] ?? 0,
  completed: row[5] ?? 0,
  failed: row[6] ?? 0,
  ...present({
    firstTokenMs: row[7] ?? null,
    betweenTokensMs: row[8] ?? null,
    warm: row[9] ?? null,
  }),
});

const limitEntry = ([upstream, slots, memoryTokens, validMs, warm]: DemandRow): unknown => ({
  upstream,
  slots,
  memoryTokens,
  validMs,
  warm,
});

const demandTag = 'd';
const grantTag = 'g';

/** The form of a message in a frame. */
export const toWire = (message: NodeMessage): unknown => {
  switch (message.kind) {
    case 'credit-demand': {
      const { sequence, oldestUsable, inFlight } = message;
      return [demandTag, sequence, oldestUsable ?? null, inFlight.map(demandRow)];
    }
    case 'credit-grant':
      return [grantTag, message.sequence, message.limits.map(limitRow)];
    default:
      return message;
  }
};

const entriesOf = (rows: unknown, entryOf: (row: DemandRow) => unknown): unknown =>
  Array.isArray(rows)
    ? rows.map((row: unknown) => (Array.isArray(row) ? entryOf(row as DemandRow) : row))
    : rows;

/** Back from the frame; the result is still to be checked against the schema. */
export const fromWire = (document: unknown): unknown => {
  if (!Array.isArray(document)) {
    return document;
  }
  const [tag, sequence, third, fourth] = document as readonly unknown[];
  if (tag === demandTag) {
    return {
      kind: 'credit-demand',
      sequence,
      ...present({ oldestUsable: third ?? null }),
      inFlight: entriesOf(fourth, demandEntry),
    };
  }
  return tag === grantTag
    ? { kind: 'credit-grant', sequence, limits: entriesOf(third, limitEntry) }
    : document;
};
