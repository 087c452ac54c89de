import { Random } from '@zinniagrade/clock';
import { type Outcome, phaseOf, VersionPacer } from '@zinniagrade/moves';
import { linearShare } from '@zinniagrade/naive';
import type { Milliseconds, Move, NodeId } from '@zinniagrade/types';
import { Fleet } from './fleet.js';
import { MoveCounts, type MoveRecord } from './move-record.js';
import type { MoveScenario } from './move-scenario.js';
import { Showing } from './showing.js';
import { drawAnswer, drawArrivals, drawRoute, newVersion, oldVersion, service } from './traffic.js';

/** Virtual time goes in steps of this length. */
const stepMs: Milliseconds = 50;
/** The world runs on this long after the end of a move, for requests that come late. */
const afterEndMs: Milliseconds = 4000;
const loadWindowMs: Milliseconds = 1000;

interface Answered {
  readonly node: NodeId;
  readonly outcome: Outcome;
}

/** When the faults of a scenario strike; some follow the moment at which the version shows itself. */
interface FaultPlan {
  readonly killAt: Milliseconds | undefined;
  readonly killAfterShownMs: Milliseconds | undefined;
  readonly cutAt: Milliseconds | undefined;
  readonly cutMs: Milliseconds;
  readonly storeDownFrom: Milliseconds;
}

const planFaults = (scenario: MoveScenario, random: Random): FaultPlan => {
  const { coordinatorKilled, linkCut, storeOutage } = scenario.faults;
  const early = scenario.fault.beginsAtMs + 20_000 * random();
  const anyTime = scenario.moveMs * random();
  const killsByTime = random() < 0.3;
  return {
    killAt: coordinatorKilled === true && killsByTime ? anyTime : undefined,
    killAfterShownMs: coordinatorKilled === true && !killsByTime ? 1200 * random() : undefined,
    cutAt: linkCut === true ? (random() < 0.5 ? early : anyTime) : undefined,
    cutMs: 3000 + 12_000 * random(),
    storeDownFrom: storeOutage === true ? scenario.moveMs * random() : Infinity,
  };
};

/** New requests of the last second, to tell whether the version is under load. */
const createLoad = () => {
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

/** Runs one move in virtual time. The same scenario and seed give the same record. */
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
  const plan = planFaults(scenario, random);
  const fleet = Fleet.create({
    nodes: scenario.nodes,
    move: planned,
    random,
    storeIsDown: (now) => now >= plan.storeDownFrom,
  });
  const counts = MoveCounts.create();
  const showing = Showing.create(planned);
  const load = createLoad();
  const answers = new Map<number, Answered[]>();
  const pacers = new Map<NodeId, VersionPacer>();
  let killAt = plan.killAt;
  let { cutAt } = plan;

  const isBad = (now: Milliseconds): boolean => {
    const { beginsAtMs, loadLimit } = scenario.fault;
    return (
      scenario.kind !== 'good' &&
      now >= beginsAtMs &&
      (loadLimit === 0 || load.perSecond(now) > loadLimit * scenario.requestsPerSecond)
    );
  };

  const choose = (node: NodeId, now: Milliseconds): { share: number; toNew: boolean } => {
    if (scenario.policy === 'naive') {
      const share = linearShare(planned, now);
      return { share, toNew: random() < share };
    }
    const share = fleet.shareOf(node);
    const choice = VersionPacer.choose(pacers.get(node) ?? VersionPacer.create(), share, random);
    pacers.set(node, choice.pacer);
    return { share, toNew: choice.useNew };
  };

  const request = (node: NodeId, now: Milliseconds): void => {
    const { share, toNew } = choose(node, now);
    if (toNew) {
      load.add(now);
    }
    const bad = isBad(now);
    counts.onRequest(toNew, bad, share, now);
    const route = drawRoute(scenario.routes, random);
    const faulty =
      toNew && bad && (scenario.fault.route === undefined || scenario.fault.route === route.name);
    const version = toNew ? newVersion : oldVersion;
    const { afterMs, outcome } = drawAnswer(scenario, version, route, faulty, random);
    const slot = Math.ceil((now + afterMs) / stepMs);
    const list = answers.get(slot) ?? [];
    list.push({ node, outcome });
    answers.set(slot, list);
  };

  const deliver = (now: Milliseconds, alive: ReadonlySet<NodeId>): void => {
    const slot = Math.round(now / stepMs);
    for (const { node, outcome } of answers.get(slot) ?? []) {
      if (!alive.has(node)) {
        continue;
      }
      fleet.take(node, outcome);
      if (
        counts.shownAt() === undefined &&
        showing.add(outcome, now) &&
        scenario.kind !== 'good' &&
        now >= scenario.fault.beginsAtMs
      ) {
        counts.onShown(now);
        killAt = plan.killAfterShownMs === undefined ? killAt : now + plan.killAfterShownMs;
      }
    }
    answers.delete(slot);
  };

  const strike = (now: Milliseconds): void => {
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
        fleet.cut({ a, b, from: now, until: now + plan.cutMs });
      }
    }
  };

  let endsAt = scenario.moveMs + afterEndMs;
  for (let now = 0; now <= endsAt; now += stepMs) {
    strike(now);
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
    // A version that is bad and yet done goes on to the end, for what it does to the callers.
    const hasEnded =
      fleet.move().state !== 'planned' &&
      (scenario.kind === 'good' || fleet.move().state === 'taken-back');
    if (scenario.policy === 'current' && hasEnded) {
      endsAt = Math.min(endsAt, now + afterEndMs);
    }
  }
  const outcome =
    scenario.policy === 'naive' || phaseOf(fleet.move(), endsAt) === 'done' ? 'done' : 'taken-back';
  return counts.finish(outcome, scenario.policy === 'current' && fleet.calledBad());
};
