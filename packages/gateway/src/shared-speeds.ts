import type { Clock } from '@zinniagrade/clock';
import {
  ageFigures,
  figureSnapshot,
  FigureSharing,
  receiveFigure,
  type FigureKind,
  type Fleet,
  type FleetMember,
  type SharedFigure,
} from '@zinniagrade/serving';
import { z } from 'zod';
import type { Log } from './log.js';
import type { Metrics } from './metrics.js';
import type { PeerTopic, RowFields } from './peer-topics.js';

export interface SharedSpeedsOptions {
  /** Registered nodes, this one included. */
  readonly nodeCount: () => number;
  readonly openTopic: (topic: PeerTopic) => (fields: RowFields) => void;
}

/** Shares what this node measures of upstreams, and keeps the figures that decisions read current. */
export interface SharedSpeeds {
  readonly stop: () => void;
}

const topicName = 'speeds';
const shareIntervalMs = 1000;
/** Rows that a snapshot is divided into, so that none is large. */
const figuresPerRow = 40;
/** Figures of a node that states a later or much earlier time are not used. */
const maxAgeMs = 60_000;

/** Kinds by their number in a row; new ones are added at the end. */
const kinds: readonly FigureKind[] = [
  'msPerPromptToken',
  'latencyMs',
  'failureShare',
  'msPerToken',
];

/** What a row holds: observations of its node, or figures that are merged from many nodes. */
const observed = 0;
const merged = 1;

/**
 * Upstream, kind, value, number of observations, age, and batch if the kind has one. Later versions may
 * append further fields.
 */
const figureSchema = z
  .tuple([
    z.string(),
    z.number().int().min(0),
    z.number().min(0),
    z.number().positive(),
    z.number().min(0),
  ])
  .rest(z.unknown());
const rowSchema = z.tuple([z.number(), z.array(figureSchema)]).rest(z.unknown());

const toFields = (form: number, figures: readonly SharedFigure[], nowMs: number): RowFields => [
  form,
  figures.map(({ member, kind, value, weight, atMs, batch }) => [
    member.upstream.id,
    kinds.indexOf(kind),
    Number(value.toPrecision(4)),
    Number(weight.toPrecision(2)),
    Math.round(nowMs - atMs),
    ...(batch === undefined ? [] : [Number(batch.toPrecision(2))]),
  ]),
];

const readBatch = (batch: unknown): { readonly batch?: number } =>
  typeof batch === 'number' && batch > 0 ? { batch } : {};

const membersByService = (fleet: Fleet): ReadonlyMap<string, readonly FleetMember[]> => {
  const services = new Map<string, FleetMember[]>();
  for (const member of fleet.members.values()) {
    const members = services.get(member.upstream.service);
    if (members === undefined) {
      services.set(member.upstream.service, [member]);
    } else {
      members.push(member);
    }
  }
  return services;
};

export const SharedSpeeds = {
  create: (
    clock: Clock,
    log: Log,
    metrics: Pick<Metrics, 'countDecision'>,
    fleet: Fleet,
    options: SharedSpeedsOptions,
  ): SharedSpeeds => {
    const sharing = FigureSharing.create(clock.monotonicMs());

    const receive: PeerTopic['receive'] = (_node, fields) => {
      const row = rowSchema.safeParse(fields);
      if (!row.success) {
        return false;
      }
      const [form, figures] = row.data;
      const nowMs = clock.monotonicMs();
      for (const [upstream, kindNumber, value, weight, ageMs, batch] of figures) {
        const kind = kinds[kindNumber];
        const member = fleet.members.get(upstream);
        if (kind !== undefined && member !== undefined && ageMs <= maxAgeMs) {
          const figure = { value, weight, atMs: nowMs - ageMs, ...readBatch(batch) };
          receiveFigure(member, kind, figure, form === merged, nowMs);
        }
      }
      return true;
    };

    const snapshot = (): readonly RowFields[] => {
      const nowMs = clock.monotonicMs();
      const figures = figureSnapshot(fleet.members.values(), nowMs);
      const rows: RowFields[] = [];
      for (let from = 0; from < figures.length; from += figuresPerRow) {
        rows.push(toFields(merged, figures.slice(from, from + figuresPerRow), nowMs));
      }
      return rows;
    };

    const shareRow = options.openTopic({ name: topicName, receive, snapshot });

    const shareAndAge = (): void => {
      const nowMs = clock.monotonicMs();
      const figures = sharing.take(fleet.members.values(), options.nodeCount(), nowMs);
      if (figures.length > 0) {
        shareRow(toFields(observed, figures, nowMs));
        metrics.countDecision('speeds-shared');
        const [first] = figures;
        log.decision('upstream figures shared', {
          count: figures.length,
          upstream: first?.member.upstream.id,
          kind: first?.kind,
          value: first?.value,
          weight: first?.weight,
        });
      }
      for (const members of membersByService(fleet).values()) {
        ageFigures(members, nowMs);
      }
    };

    return { stop: clock.every(shareIntervalMs, shareAndAge) };
  },
};
