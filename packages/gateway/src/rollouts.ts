import type { Clock, Random } from '@zinniagrade/clock';
import { addEvidence, evidenceOf, VersionPacer, type EvidenceTable } from '@zinniagrade/moves';
import {
  decideRollout,
  oldVersionOf,
  ownUse,
  type FleetMember,
  type Rollout,
  type RolloutDecision,
  type RolloutReport,
  type RolloutState,
  type UpstreamUse,
} from '@zinniagrade/serving';
import type { Log } from './log.js';
import type { CommitOutcome } from './metadata-store.js';
import type { RolloutStatus, View } from './view.js';

/** One answer of an upstream. */
export interface Observation {
  readonly member: FleetMember;
  readonly route: string;
  readonly failed: boolean;
  /** Time to the first event, or to the whole answer of a plain request. */
  readonly firstEventMs?: number;
  /** Mean time between output tokens. */
  readonly betweenTokensMs?: number;
}

export interface RolloutsOptions {
  readonly node: string;
  /** Other nodes that are heard of. */
  readonly alive: () => ReadonlySet<string>;
  readonly peerUse: (upstream: string) => UpstreamUse;
  readonly share: (service: string, report: RolloutReport) => void;
  /** Writes the status if it still has the given revision; 0 stands for none. */
  readonly writeStatus: (status: RolloutStatus, revision: number) => Promise<CommitOutcome>;
  /** Called when streams have to leave the old version. */
  readonly onSuperseded: () => void;
}

/** Carries out the operators' orders to move a service's traffic to another version. */
export interface Rollouts {
  /** Draws once for a request which upstreams may get it, by their version. */
  readonly draw: (service: string) => (member: FleetMember) => boolean;
  /** Whether streams have to leave the upstream because its version ends. */
  readonly isSuperseded: (member: FleetMember) => boolean;
  readonly observe: (observation: Observation) => void;
  readonly takeReport: (node: string, service: string, report: RolloutReport) => void;
  readonly stop: () => void;
}

/** What this node knows of one rollout. */
interface Progress {
  readonly rollout: Rollout;
  readonly seenAtMs: number;
  evidence: EvidenceTable;
  readonly reports: Map<string, RolloutReport>;
  decision: RolloutDecision | undefined;
  pacer: VersionPacer;
  reportedAtMs: number;
  /** Since when another status is due, and which. */
  due?: { readonly state: RolloutState; readonly sinceMs: number } | undefined;
  writing: boolean;
}

const tickMs = 200;
const reportIntervalMs = 500;
/** Each node waits this long for those before it to write a status. */
const writeTurnMs = 400;
const writeTurns = 6;

export const Rollouts = {
  create: (
    clock: Clock,
    random: Random,
    log: Log,
    view: View,
    options: RolloutsOptions,
  ): Rollouts => {
    const progresses = new Map<string, Progress>();

    const progressOf = (service: string): Progress | undefined => {
      const rollout = view.rollouts.get(service);
      const known = progresses.get(service);
      if (rollout === undefined) {
        progresses.delete(service);
        return undefined;
      }
      if (known?.rollout.target === rollout.target) {
        return known;
      }
      const progress: Progress = {
        rollout,
        seenAtMs: clock.monotonicMs(),
        evidence: {},
        reports: new Map(),
        decision: undefined,
        // With a random start, many nodes with a few requests each keep to the share together.
        pacer: { credit: random() },
        reportedAtMs: 0,
        writing: false,
      };
      progresses.set(service, progress);
      return progress;
    };

    /** The state that the store has for this rollout, if any. */
    const storedState = ({ rollout }: Progress): RolloutState | undefined => {
      const stored = view.rolloutStatuses.get(rollout.service);
      return stored?.status.target === rollout.target ? stored.status.state : undefined;
    };

    const shareOf = (progress: Progress): number => {
      switch (storedState(progress)) {
        case 'completed':
          return 1;
        case 'rolled-back':
          return 0;
        default:
          return progress.decision?.share ?? 0;
      }
    };

    const isBad = (progress: Progress): boolean =>
      progress.decision?.bad !== undefined || storedState(progress) === 'rolled-back';

    const has = (service: string, target: string, isNew: boolean): boolean =>
      view.fleet
        .ofService(service)
        .some((member) => !member.leaving && (member.upstream.version === target) === isNew);

    /** Which version may be used; the other one where the drawn one has no upstream left. */
    const permits = (progress: Progress, drawnNew: boolean, member: FleetMember): boolean => {
      const { service, target } = progress.rollout;
      const share = shareOf(progress);
      const wantsNew = share >= 1 || (share > 0 && drawnNew);
      const isNew = member.upstream.version === target;
      if (isNew === wantsNew) {
        return true;
      }
      return isNew
        ? !isBad(progress) && !has(service, target, false)
        : storedState(progress) !== 'completed' && !has(service, target, true);
    };

    const reportOf = (progress: Progress): RolloutReport => ({
      target: progress.rollout.target,
      elapsedMs: clock.monotonicMs() - progress.seenAtMs,
      ...(progress.decision?.bad === undefined ? {} : { bad: progress.decision.bad }),
      evidence: Object.values(progress.evidence),
    });

    const isOldInUse = ({ service, target }: Rollout): boolean =>
      view.fleet
        .ofService(service)
        .some(
          (member) =>
            member.upstream.version !== target &&
            ownUse(member).requests + options.peerUse(member.upstream.id).requests > 0,
        );

    const dueState = (progress: Progress, decision: RolloutDecision): RolloutState => {
      if (decision.bad !== undefined || decision.isTooLate) {
        return 'rolled-back';
      }
      const isDone =
        decision.share >= 1 && (decision.mustComplete || !isOldInUse(progress.rollout));
      return isDone ? 'completed' : 'running';
    };

    const write = async (progress: Progress, state: RolloutState): Promise<void> => {
      const { service, target } = progress.rollout;
      const revision = view.rolloutStatuses.get(service)?.revision ?? 0;
      progress.writing = true;
      const outcome = await options.writeStatus({ service, target, state }, revision);
      progress.writing = false;
      log.event('rollout status', { service, target, state, revision, outcome: outcome.outcome });
    };

    /** Nodes write in turns, so that one write is usual and a dead node holds nothing up. */
    const writeIfDue = (progress: Progress, decision: RolloutDecision): void => {
      const stored = storedState(progress);
      const nowMs = clock.monotonicMs();
      const state = dueState(progress, decision);
      if (stored === state || stored === 'completed' || stored === 'rolled-back') {
        progress.due = undefined;
        return;
      }
      if (progress.due?.state !== state) {
        progress.due = { state, sinceMs: nowMs };
      }
      let before = 0;
      for (const node of options.alive()) {
        before += node < options.node ? 1 : 0;
      }
      const turnMs = Math.min(before, writeTurns) * writeTurnMs;
      if (!progress.writing && nowMs - progress.due.sinceMs >= turnMs) {
        write(progress, state).catch((error: unknown) => {
          progress.writing = false;
          log.event('rollout status not written', { reason: String(error) });
        });
      }
    };

    const step = (service: string): void => {
      const progress = progressOf(service);
      const stored = progress === undefined ? undefined : storedState(progress);
      if (progress === undefined || stored === 'completed' || stored === 'rolled-back') {
        return;
      }
      const { rollout } = progress;
      const oldVersion = oldVersionOf(view.fleet.ofService(service), rollout.target);
      const before = progress.decision;
      const own = reportOf(progress);
      const decision = decideRollout(rollout, oldVersion ?? '', [
        own,
        ...progress.reports.values(),
      ]);
      progress.decision = decision;
      if (before?.share !== decision.share || before.bad !== decision.bad) {
        log.event('rollout share', {
          service,
          target: rollout.target,
          share: decision.share,
          bad: decision.bad,
          elapsedMs: Math.round(own.elapsedMs),
          newAnswers: decision.newAnswers,
          suspicion: Math.round(decision.suspicion * 100) / 100,
          reports: progress.reports.size,
        });
      }
      const nowMs = clock.monotonicMs();
      if (nowMs - progress.reportedAtMs >= reportIntervalMs || before?.bad !== decision.bad) {
        progress.reportedAtMs = nowMs;
        options.share(service, reportOf(progress));
      }
      writeIfDue(progress, decision);
      if (decision.share >= 1) {
        options.onSuperseded();
      }
    };

    const stop = clock.every(tickMs, () => {
      for (const service of view.rollouts.keys()) {
        step(service);
      }
    });

    return {
      draw: (service) => {
        const progress = progressOf(service);
        if (progress === undefined) {
          return () => true;
        }
        const choice = VersionPacer.choose(progress.pacer, shareOf(progress), random);
        progress.pacer = choice.pacer;
        return (member) => permits(progress, choice.useNew, member);
      },
      isSuperseded: ({ upstream }) => {
        const progress = progresses.get(upstream.service);
        return (
          progress !== undefined &&
          upstream.version !== progress.rollout.target &&
          shareOf(progress) >= 1
        );
      },
      observe: ({ member, route, failed, firstEventMs, betweenTokensMs }) => {
        const { service, version } = member.upstream;
        const progress = progresses.get(service);
        if (progress === undefined) {
          return;
        }
        const outcome = {
          version,
          service,
          route,
          failed,
          ...(firstEventMs === undefined ? {} : { firstTokenMs: firstEventMs }),
          ...(betweenTokensMs === undefined ? {} : { betweenTokensMs }),
        };
        progress.evidence = addEvidence(progress.evidence, [evidenceOf(outcome)]);
      },
      takeReport: (node, service, report) => {
        const progress = progressOf(service);
        if (progress?.rollout.target === report.target) {
          progress.reports.set(node, report);
        }
      },
      stop,
    };
  },
};
