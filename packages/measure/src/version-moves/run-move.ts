import { Random } from '@zinniagrade/clock';
import { type Outcome, phaseOf, VersionPacer } from '@zinniagrade/moves';
import { linearShare } from '@zinniagrade/naive';
import type { Milliseconds, Move, NodeId } from '@zinniagrade/types';
import { SimulatedFleet } from './fleet.js';
import { MoveRecorder, type MoveRecord } from './move-record.js';
import type { MoveScenario } from './move-scenario.js';
import { IdealDetector } from './ideal-detector.js';
import { drawAnswer, drawArrivals, drawRoute, newVersion, oldVersion, service } from './traffic.js';

/** Step of the virtual time. */
const stepMs: Milliseconds = 50;
/** The simulation continues for this long after the end of a move, to count late requests. */
const afterEndMs: Milliseconds = 4000;
const loadWindowMs: Milliseconds = 1000;

interface PendingOutcome {
  readonly node: NodeId;
  readonly outcome: Outcome;
}

/**
 * Times at which the faults of a scenario are injected; some are relative to when the version
 * becomes detectable.
 */
interface FaultPlan {
  readonly killAt: Milliseconds | undefined;
  readonly killAfterDetectableMs: Milliseconds | undefined;
  readonly cutAt: Milliseconds | undefined;
  readonly cutMs: Milliseconds;
  readonly storeDownFrom: Milliseconds;
}

const planFaults = (scenario: MoveScenario, random: Random): FaultPlan => {
  const { coordinatorKilled, linkCut, storeOutage } = scenario.faults;
  const nearFaultStart = scenario.fault.beginsAtMs + 20_000 * random();
  const anyTime = scenario.moveMs * random();
  const isKillTimed = random() < 0.3;
  return {
    killAt: coordinatorKilled === true && isKillTimed ? anyTime : undefined,
    killAfterDetectableMs: coordinatorKilled === true && !isKillTimed ? 1200 * random() : undefined,
    cutAt: linkCut === true ? (random() < 0.5 ? nearFaultStart : anyTime) : undefined,
    cutMs: 3000 + 12_000 * random(),
    storeDownFrom: storeOutage === true ? scenario.moveMs * random() : Infinity,
  };
};

/** Rate of requests to the new version over the last second, to decide whether it is under load. */
const createRequestRate = () => {
  let times: Milliseconds[] = [];
  return {
    add: (at: Milliseconds): void => {
      times.push(at);
    },
    perSecond: (now: Milliseconds): number => {
      times = times.filter((at) => at > now - loadWindowMs);
      return times.length / (loadWindowMs / 1000);
    },
  };
};

/** Simulates one move in virtual time. The same scenario and seed give the same record. */
export const runMove = (scenario: MoveScenario, seed: number): MoveRecord => {
  const random = Random.create(seed);
  const planned: Move = {
    id: `move-${seed}`,
    service,
    fromVersion: oldVersion,
    toVersion: newVersion,
    startAt: 0,
    deadlineAt: scenario.moveMs,
    state: 'planned',
  };
  const faultPlan = planFaults(scenario, random);
  const fleet = SimulatedFleet.create({
    nodes: scenario.nodes,
    move: planned,
    random,
    isStoreDown: (now) => now >= faultPlan.storeDownFrom,
  });
  const recorder = MoveRecorder.create();
  const detector = IdealDetector.create(planned);
  const newVersionRate = createRequestRate();
  const pendingOutcomes = new Map<number, PendingOutcome[]>();
  const pacers = new Map<NodeId, VersionPacer>();
  let killAt = faultPlan.killAt;
  let { cutAt } = faultPlan;

  const isBad = (now: Milliseconds): boolean => {
    const { beginsAtMs, loadLimit } = scenario.fault;
    return (
      scenario.kind !== 'good' &&
      now >= beginsAtMs &&
      (loadLimit === 0 || newVersionRate.perSecond(now) > loadLimit * scenario.requestsPerSecond)
    );
  };

  const choose = (node: NodeId, now: Milliseconds): { share: number; usesNewVersion: boolean } => {
    if (scenario.policy === 'naive') {
      const share = linearShare(planned, now);
      return { share, usesNewVersion: random() < share };
    }
    const share = fleet.shareOf(node);
    const choice = VersionPacer.choose(pacers.get(node) ?? VersionPacer.create(), share, random);
    pacers.set(node, choice.pacer);
    return { share, usesNewVersion: choice.useNew };
  };

  const request = (node: NodeId, now: Milliseconds): void => {
    const { share, usesNewVersion } = choose(node, now);
    if (usesNewVersion) {
      newVersionRate.add(now);
    }
    const versionIsBad = isBad(now);
    recorder.onRequest(usesNewVersion, versionIsBad, share, now);
    const route = drawRoute(scenario.routes, random);
    const faulty =
      usesNewVersion &&
      versionIsBad &&
      (scenario.fault.route === undefined || scenario.fault.route === route.name);
    const version = usesNewVersion ? newVersion : oldVersion;
    const { afterMs, outcome } = drawAnswer(scenario, version, route, faulty, random);
    const slot = Math.ceil((now + afterMs) / stepMs);
    const list = pendingOutcomes.get(slot) ?? [];
    list.push({ node, outcome });
    pendingOutcomes.set(slot, list);
  };

  const deliver = (now: Milliseconds, alive: ReadonlySet<NodeId>): void => {
    const slot = Math.round(now / stepMs);
    for (const { node, outcome } of pendingOutcomes.get(slot) ?? []) {
      if (!alive.has(node)) {
        continue;
      }
      fleet.recordOutcome(node, outcome);
      if (
        recorder.detectableAt() === undefined &&
        detector.detectsBadAfter(outcome, now) &&
        scenario.kind !== 'good' &&
        now >= scenario.fault.beginsAtMs
      ) {
        recorder.onDetectable(now);
        killAt =
          faultPlan.killAfterDetectableMs === undefined
            ? killAt
            : now + faultPlan.killAfterDetectableMs;
      }
    }
    pendingOutcomes.delete(slot);
  };

  const injectFaults = (now: Milliseconds): void => {
    if (killAt !== undefined && now >= killAt) {
      killAt = undefined;
      const coordinator = fleet.coordinator();
      if (coordinator !== undefined) {
        fleet.kill(coordinator);
      }
      if (scenario.faults.linkCut === true) {
        cutAt = now;
      }
    }
    if (cutAt !== undefined && now >= cutAt) {
      cutAt = undefined;
      const a = fleet.coordinator();
      const others = fleet.alive().filter((node) => node !== a);
      const b = others[Math.floor(random() * others.length)];
      if (a !== undefined && b !== undefined) {
        fleet.cutLink({ a, b, from: now, until: now + faultPlan.cutMs });
      }
    }
  };

  let endsAt = scenario.moveMs + afterEndMs;
  for (let now = 0; now <= endsAt; now += stepMs) {
    injectFaults(now);
    const alive = fleet.alive();
    deliver(now, new Set(alive));
    fleet.advance(now);
    const mean = (scenario.requestsPerSecond * stepMs) / 1000;
    for (let left = drawArrivals(mean, random); left > 0; left -= 1) {
      const node = alive[Math.floor(random() * alive.length)];
      if (node !== undefined) {
        request(node, now);
      }
    }
    // If the move to a bad version is done, the simulation continues to the deadline, to count its
    // effect on the callers.
    const hasEnded =
      fleet.move().state !== 'planned' &&
      (scenario.kind === 'good' || fleet.move().state === 'taken-back');
    if (scenario.policy === 'current' && hasEnded) {
      endsAt = Math.min(endsAt, now + afterEndMs);
    }
  }
  const outcome =
    scenario.policy === 'naive' || phaseOf(fleet.move(), endsAt) === 'done' ? 'done' : 'taken-back';
  return recorder.finish(outcome, scenario.policy === 'current' && fleet.judgedBad());
};
