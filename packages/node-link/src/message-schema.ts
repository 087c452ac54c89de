import { committedChangeSetSchema, fragmentSchema } from '@zinniagrade/configuration';
import { errorResponses } from '@zinniagrade/errors';
import type {
  CallAnswer,
  CallForward,
  CreditDemand,
  ErrorKind,
  Heartbeat,
  UpstreamUsage,
  Member,
  MemberUpdate,
  MoveEvidenceMessage,
  MoveReport,
  MoveShare,
  NodeMessage,
  OtherNodesUsage,
  ProvisionalWithdrawalMessage,
  PerSecondEvidence,
  UpstreamLimit,
  VersionEvidence,
  VmNotice,
} from '@zinniagrade/types';
import { z } from 'zod';

/**
 * One schema for each field of a type, optional ones included, so that no new field is forgotten.
 */
type FieldSchemas<T> = Readonly<Record<keyof T, z.ZodType>>;

const id = z.string().min(1).max(256);
const count = z.number().nonnegative();
const ageMs = z.number().nonnegative();

const heartbeat = z.strictObject({
  kind: z.literal('heartbeat'),
  incarnation: count,
  revision: z.number().int().nonnegative(),
  newestRevision: z.exactOptional(z.number().int().nonnegative()),
  confirmationAgeMs: ageMs,
  membersHash: z.string().max(64),
  sentAt: z.exactOptional(z.number()),
  heard: z.exactOptional(z.instanceof(Uint8Array)),
} satisfies FieldSchemas<Heartbeat>);

const member = z.strictObject({
  nodeId: id,
  incarnation: count,
  processIncarnation: count,
  host: id,
  callerPort: z.number().int(),
  linkPort: z.number().int(),
  dataCentre: id,
  region: id,
  status: z.enum(['alive', 'suspect', 'leaving', 'gone']),
} satisfies FieldSchemas<Member>);

const memberUpdate = z.strictObject({
  kind: z.literal('member-update'),
  members: z.array(member).max(4096),
  exchange: z.exactOptional(z.boolean()),
  buckets: z.exactOptional(z.array(count).max(1024)),
} satisfies FieldSchemas<MemberUpdate>);

const provisionalWithdrawal = z.strictObject({
  kind: z.literal('provisional-withdrawal'),
  withdrawal: z.strictObject({ dataCentre: id, operationId: id, issuedAt: z.number() }),
  settled: z.boolean(),
  revision: z.exactOptional(z.number().int().positive()),
} satisfies FieldSchemas<ProvisionalWithdrawalMessage>);

const upstreamUsage = z.strictObject({
  upstream: id,
  requests: count,
  memoryTokens: count,
  wantedRequests: count,
  wantedMemoryTokens: count,
  completed: count,
  failed: count,
  firstTokenMs: z.exactOptional(count),
  betweenTokensMs: z.exactOptional(count),
  warm: z.exactOptional(z.boolean()),
} satisfies FieldSchemas<UpstreamUsage>);

const upstreamLimit = z.strictObject({
  upstream: id,
  slots: count,
  memoryTokens: count,
  validMs: count,
  warm: z.boolean(),
  others: z.exactOptional(
    z.strictObject({
      requests: count,
      memoryTokens: count,
    } satisfies FieldSchemas<OtherNodesUsage>),
  ),
} satisfies FieldSchemas<UpstreamLimit>);

const errorKinds = Object.keys(errorResponses) as [ErrorKind, ...ErrorKind[]];

const callAnswer = z.strictObject({
  kind: z.literal('call-answer'),
  correlationId: id,
  outcome: z.discriminatedUnion('ok', [
    z.strictObject({ ok: z.literal(true), result: z.unknown() }),
    z.strictObject({
      ok: z.literal(false),
      error: z.enum(errorKinds),
      ran: z.enum(['not-run', 'unknown']),
      detail: z.string(),
    }),
  ]),
} satisfies FieldSchemas<CallAnswer>);

const callForward = z.strictObject({
  kind: z.literal('call-forward'),
  correlationId: id,
  clientAccount: id,
  service: id,
  idempotencyKey: z.string().min(1).max(4096),
  operation: id,
  arguments: z.unknown(),
} satisfies FieldSchemas<CallForward>);

const versionEvidence = z.strictObject({
  version: id,
  service: id,
  route: id,
  succeeded: count,
  failed: count,
  firstTokenCounts: z.array(count).max(64),
  betweenTokensCounts: z.array(count).max(64),
} satisfies FieldSchemas<VersionEvidence>);

const moveShare = z.strictObject({
  move: id,
  share: z.number().min(0).max(1),
  sequence: count,
  coordinator: id,
  validMs: z.number(),
  reportSequence: z.exactOptional(count),
  bad: z.exactOptional(z.string().max(4096)),
} satisfies FieldSchemas<MoveShare>);

const moveReport = z.strictObject({
  move: id,
  incarnation: count,
  sequence: count,
  coordinator: id,
  grantSequence: count,
  heardSequence: count,
  heardShare: z.number().min(0).max(1),
  urgent: z.exactOptional(z.boolean()),
  bad: z.exactOptional(z.string().max(4096)),
  evidence: z.array(versionEvidence).max(4096),
  at: z.number(),
  seconds: z
    .array(
      z.strictObject({
        second: count,
        evidence: z.array(versionEvidence).max(4096),
      } satisfies FieldSchemas<PerSecondEvidence>),
    )
    .max(64),
  whole: z.boolean(),
} satisfies FieldSchemas<MoveReport>);

const vmNotice = z.strictObject({
  host: id,
  state: z.enum(['live', 'leaving']),
  at: count,
} satisfies FieldSchemas<VmNotice>);

/** Schema against which every message from another node is checked on arrival. */
export const nodeMessageSchema: z.ZodType<NodeMessage> = z.discriminatedUnion('kind', [
  heartbeat,
  memberUpdate,
  z.strictObject({
    kind: z.literal('configuration-change'),
    changes: z.array(committedChangeSetSchema).max(1024),
  }),
  z.strictObject({
    kind: z.literal('configuration-pull'),
    haveRevision: z.number().int().nonnegative(),
  }),
  z.strictObject({
    kind: z.literal('configuration-state'),
    revision: z.number().int().positive(),
    part: z.number().int().nonnegative(),
    parts: z.number().int().positive(),
    fragment: fragmentSchema,
  }),
  provisionalWithdrawal,
  z.strictObject({
    kind: z.literal('credit-demand'),
    sequence: count,
    oldestUsable: z.exactOptional(count),
    inFlight: z.array(upstreamUsage).max(4096),
  } satisfies FieldSchemas<CreditDemand>),
  z.strictObject({
    kind: z.literal('credit-grant'),
    sequence: count,
    limits: z.array(upstreamLimit).max(4096),
  }),
  callForward,
  callAnswer,
  z.strictObject({
    kind: z.literal('move-evidence'),
    evidence: z.array(versionEvidence).max(4096),
    reports: z.exactOptional(z.array(moveReport).max(256)),
  } satisfies FieldSchemas<MoveEvidenceMessage>),
  z.strictObject({ kind: z.literal('move-grant'), shares: z.array(moveShare).max(4096) }),
  z.strictObject({ kind: z.literal('vm-notices'), notices: z.array(vmNotice).max(4096) }),
]);
