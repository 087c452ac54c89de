import type { Clock, Random } from '@zinniagrade/clock';
import { addEvidence, evidenceOf, VersionPacer, type EvidenceTable } from '@zinniagrade/moves';
import type { VersionEvidence } from '@zinniagrade/types';
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
import type { RolloutStatus, ClusterState } from './cluster-state.js';
import { latencyOf, type KnownLatency, type SentRequest } from './rollout-evidence.js';
import { RolloutStatusWriter } from './rollout-status-writer.js';

export interface RolloutsOptions {
  readonly node: string;
  /** Other nodes from which messages arrive. */
  readonly aliveNodes: () => ReadonlySet<string>;
  readonly peerUse: (upstream: string) => UpstreamUse;
  readonly shareReport: (service: string, report: RolloutReport) => void;
  /**
   * Writes the status if the stored one is still at the given revision; 0 means that none exists.
   */
  readonly writeStatus: (status: RolloutStatus, revision: number) => Promise<CommitOutcome>;
  /** Called when streams have to be moved off the old version. */
  readonly onSuperseded: () => void;
}

/** Shifts a service's traffic to another version, as ordered by operators. */
export interface Rollouts {
  /** Chooses a version for one request; returns whether an upstream may get the request. */
  readonly chooseVersion: (service: string) => (member: FleetMember) => boolean;
  /** Whether streams have to leave the upstream because its version gets no more traffic. */
  readonly isSuperseded: (member: FleetMember) => boolean;
  /**
   * Follows the latency of a request from its sending on, as responses that are slow enough have
   * not ended, or never do, while the new version is judged. The returned function has to be called
   * when the exchange has ended in any way.
   */
  readonly follow: (request: SentRequest) => () => void;
  /** Records whether a request succeeded. */
  readonly recordOutcome: (member: FleetMember, route: string, failed: boolean) => void;
  readonly receiveReport: (node: string, service: string, report: RolloutReport) => void;
  readonly stop: () => void;
}

/** State of one rollout on this node. */
interface RolloutProgress {
  readonly rollout: Rollout;
  readonly firstSeenAtMs: number;
  /** Requests that this node sent to the new version. */
  newSends: number;
  /** Of requests that have ended. */
  evidence: EvidenceTable;
  /** Evidence of all nodes at the last step, from which slow responses are told. */
  known: EvidenceTable;
  readonly reports: Map<string, RolloutReport>;
  decision: RolloutDecision | undefined;
  pacer: VersionPacer;
  reportedAtMs: number;
  readonly statusWriter: RolloutStatusWriter;
}

const stepIntervalMs = 200;
const reportIntervalMs = 500;
export const Rollouts = {
  create: (
    clock: Clock,
    random: Random,
    log: Log,
    cluster: ClusterState,
    options: RolloutsOptions,
  ): Rollouts => {
    const progresses = new Map<string, RolloutProgress>();
    /** By service; requests of the old version that are open when a rollout begins count too. */
    const openRequests = new Map<string, Set<SentRequest>>();

    const progressOf = (service: string): RolloutProgress | undefined => {
      const rollout = cluster.rollouts.get(service);
      const known = progresses.get(service);
      if (rollout === undefined) {
        progresses.delete(service);
        return undefined;
      }
      if (known?.rollout.target === rollout.target) {
        return known;
      }
      const progress: RolloutProgress = {
        rollout,
        firstSeenAtMs: clock.monotonicMs(),
        newSends: 0,
        evidence: {},
        known: {},
        reports: new Map(),
        decision: undefined,
        // With a random start, many nodes with a few requests each reach the share in total.
        pacer: { credit: random() },
        reportedAtMs: 0,
        statusWriter: RolloutStatusWriter.create(clock, log, cluster, {
          node: options.node,
          aliveNodes: options.aliveNodes,
          write: options.writeStatus,
        }),
      };
      progresses.set(service, progress);
      return progress;
    };

    /** The state stored for this rollout, if any. */
    const storedState = ({ rollout }: RolloutProgress): RolloutState | undefined => {
      const stored = cluster.rolloutStatuses.get(rollout.service);
      return stored?.status.target === rollout.target ? stored.status.state : undefined;
    };

    const newVersionShare = (progress: RolloutProgress): number => {
      switch (storedState(progress)) {
        case 'completed':
          return 1;
        case 'rolled-back':
          return 0;
        default:
          return progress.decision?.share ?? 0;
      }
    };

    const isNewVersionBad = (progress: RolloutProgress): boolean =>
      progress.decision?.bad !== undefined || storedState(progress) === 'rolled-back';

    const hasUpstream = (service: string, target: string, isNew: boolean): boolean =>
      cluster.fleet
        .ofService(service)
        .some((member) => !member.leaving && (member.upstream.version === target) === isNew);

    /** Allows the chosen version; allows the other one if the chosen one has no upstream left. */
    const allowsMember = (
      progress: RolloutProgress,
      choseNew: boolean,
      member: FleetMember,
    ): boolean => {
      const { service, target } = progress.rollout;
      const share = newVersionShare(progress);
      const wantsNew = share >= 1 || (share > 0 && choseNew);
      const isNew = member.upstream.version === target;
      if (isNew === wantsNew) {
        return true;
      }
      return isNew
        ? !isNewVersionBad(progress) && !hasUpstream(service, target, false)
        : storedState(progress) !== 'completed' && !hasUpstream(service, target, true);
    };

    const oldVersion = ({ rollout }: RolloutProgress): string =>
      oldVersionOf(cluster.fleet.ofService(rollout.service), rollout.target) ?? '';

    const knownLatency = (progress: RolloutProgress): KnownLatency => ({
      evidence: progress.known,
      oldVersion: oldVersion(progress),
    });

    const ownEvidence = (progress: RolloutProgress): readonly VersionEvidence[] => {
      const requests = openRequests.get(progress.rollout.service) ?? [];
      const known = knownLatency(progress);
      const open = [...requests].map((request) => latencyOf(request, true, known));
      return Object.values(addEvidence(progress.evidence, open));
    };

    const reportOf = (progress: RolloutProgress): RolloutReport => ({
      target: progress.rollout.target,
      elapsedMs: clock.monotonicMs() - progress.firstSeenAtMs,
      ...(progress.decision?.bad === undefined ? {} : { bad: progress.decision.bad }),
      newSends: progress.newSends,
      evidence: ownEvidence(progress),
    });

    /** False for a node that hears no other one: it may be cut off, and others send as well. */
    const hasAllReports = ({ reports }: RolloutProgress): boolean => {
      const nodes = options.aliveNodes();
      for (const node of nodes) {
        if (!reports.has(node)) {
          return false;
        }
      }
      return nodes.size > 0;
    };

    const isOldVersionInUse = ({ service, target }: Rollout): boolean =>
      cluster.fleet
        .ofService(service)
        .some(
          (member) =>
            member.upstream.version !== target &&
            ownUse(member).requests + options.peerUse(member.upstream.id).requests > 0,
        );

    const dueState = (progress: RolloutProgress, decision: RolloutDecision): RolloutState => {
      if (decision.bad !== undefined || decision.isTooLate) {
        return 'rolled-back';
      }
      const isDone =
        decision.share >= 1 && (decision.mustComplete || !isOldVersionInUse(progress.rollout));
      return isDone ? 'completed' : 'running';
    };

    const writeIfDue = (progress: RolloutProgress, decision: RolloutDecision): void => {
      const { service, target } = progress.rollout;
      const stored = storedState(progress);
      const state = dueState(progress, decision);
      if (stored === state || stored === 'completed' || stored === 'rolled-back') {
        progress.statusWriter.clear();
        return;
      }
      progress.statusWriter.writeInTurn({ service, target, state });
    };

    const step = (service: string): void => {
      const progress = progressOf(service);
      const stored = progress === undefined ? undefined : storedState(progress);
      if (progress === undefined || stored === 'completed' || stored === 'rolled-back') {
        return;
      }
      const { rollout } = progress;
      const previous = progress.decision;
      progress.known = addEvidence(
        progress.evidence,
        [...progress.reports.values()].flatMap(({ evidence }) => evidence),
      );
      const ownReport = reportOf(progress);
      const decision = decideRollout(rollout, oldVersion(progress), [
        hasAllReports(progress) ? ownReport : { ...ownReport, newSends: undefined },
        ...progress.reports.values(),
      ]);
      progress.decision = decision;
      if (previous?.share !== decision.share || previous.bad !== decision.bad) {
        log.event('rollout share changed', {
          service,
          target: rollout.target,
          share: decision.share,
          bad: decision.bad,
          elapsedMs: Math.round(ownReport.elapsedMs),
          newAnswers: decision.newAnswers,
          suspicion: Math.round(decision.suspicion * 100) / 100,
          reports: progress.reports.size,
        });
      }
      const nowMs = clock.monotonicMs();
      if (nowMs - progress.reportedAtMs >= reportIntervalMs || previous?.bad !== decision.bad) {
        progress.reportedAtMs = nowMs;
        options.shareReport(service, reportOf(progress));
      }
      writeIfDue(progress, decision);
      if (decision.share >= 1) {
        options.onSuperseded();
      }
    };

    const stop = clock.every(stepIntervalMs, () => {
      for (const service of cluster.rollouts.keys()) {
        step(service);
      }
    });

    return {
      chooseVersion: (service) => {
        const progress = progressOf(service);
        if (progress === undefined) {
          return () => true;
        }
        const choice = VersionPacer.choose(progress.pacer, newVersionShare(progress), random);
        progress.pacer = choice.pacer;
        return (member) => allowsMember(progress, choice.useNew, member);
      },
      isSuperseded: ({ upstream }) => {
        const progress = progresses.get(upstream.service);
        return (
          progress !== undefined &&
          upstream.version !== progress.rollout.target &&
          newVersionShare(progress) >= 1
        );
      },
      follow: (request) => {
        const { service, version } = request.member.upstream;
        const progressAtSend = progresses.get(service);
        if (progressAtSend?.rollout.target === version) {
          progressAtSend.newSends += 1;
        }
        const requests = openRequests.get(service) ?? new Set();
        openRequests.set(service, requests.add(request));
        return () => {
          const progress = progresses.get(service);
          if (requests.delete(request) && progress !== undefined) {
            const latency = latencyOf(request, false, knownLatency(progress));
            progress.evidence = addEvidence(progress.evidence, [latency]);
          }
        };
      },
      recordOutcome: (member, route, failed) => {
        const { service, version } = member.upstream;
        const progress = progresses.get(service);
        if (progress !== undefined) {
          const outcome = evidenceOf({ version, service, route, failed });
          progress.evidence = addEvidence(progress.evidence, [outcome]);
        }
      },
      receiveReport: (node, service, report) => {
        const progress = progressOf(service);
        if (progress?.rollout.target === report.target) {
          progress.reports.set(node, report);
        }
      },
      stop,
    };
  },
};
