import { Random } from '@zinniagrade/clock';
import { tokenStep } from './account-use.js';
import { admitGeneration } from './admission.js';
import {
  createNode,
  engineCount,
  engineTokens,
  loadMs,
  nodeCount,
  rateOf,
  type Arrival,
  type ReplayNode,
  type Rules,
} from './admission-replay-load.js';
import type { RoomAhead, WaitingRequest } from './waiting-queue.js';

const stepMs = 20;
const warmUpMs = 6000;
/** Nodes learn of the use of others after this time, evenly spread. */
const minDelayMs = 20;
const maxDelayMs = 250;

interface Change {
  readonly dueMs: number;
  readonly apply: () => void;
}

export interface Outcome {
  /** Those that started, with what their first attempt waited, or their second one. */
  readonly started: ReadonlyMap<Arrival, number>;
  /** Mean time for which requests were held that were refused. */
  readonly heldMs: number;
  readonly refusedTwice: number;

  /** Mean memory in use within the capacity of each engine, and above it, as shares of all memory. */
  readonly used: number;
  readonly overflow: number;
}

/** Plays arrivals at many nodes, which learn of each other with a delay. */
export const replay = (firstArrivals: readonly Arrival[], rules: Rules): Outcome => {
  const { shares, refusesEarly, sharesAccounts } = rules;
  const arrivals: Arrival[] = [];
  const random = Random.create(1);
  const nodes = Array.from({ length: nodeCount }, () => createNode(random));
  const started = new Map<Arrival, number>();
  const trueUse = new Map<string, number>();
  const changes: Change[] = [];
  let usedSum = 0;
  let overflowSum = 0;
  let samples = 0;
  let heldSumMs = 0;
  let refusals = 0;
  let refusedTwice = 0;

  const later = (dueMs: number, apply: () => void): void => {
    changes.push({ dueMs, apply });
  };
  const applyDue = (nowMs: number): void => {
    const due = changes.filter(({ dueMs }) => dueMs <= nowMs);
    const left = changes.filter(({ dueMs }) => dueMs > nowMs);
    changes.splice(0, changes.length, ...left);
    for (const { apply } of due) {
      apply();
    }
  };
  const delayMs = (): number => minDelayMs + random() * (maxDelayMs - minDelayMs);

  /** The node knows at once, the others with one delay for the update. */
  const changeUse = (node: ReplayNode, engine: string, tokens: number, nowMs: number): void => {
    const total = (trueUse.get(engine) ?? 0) + tokens;
    trueUse.set(engine, total);
    node.used.set(engine, (node.used.get(engine) ?? 0) + tokens);
    if (tokens < 0) {
      node.freed.record(-tokens, nowMs);
      node.schedule.recordFreedMemory(-tokens, nowMs);
    }
    const dueMs = nowMs + delayMs();
    later(dueMs, () => {
      const name = String(nodes.indexOf(node));
      for (const other of nodes) {
        if (other !== node) {
          other.used.set(engine, (other.used.get(engine) ?? 0) + tokens);
          if (tokens > 0) {
            other.peers.recordStarts(name, tokens);
          } else {
            other.freed.record(-tokens, dueMs);
          }
        }
      }
    });
  };

  /** The caller of a first attempt comes back once, at any node. */
  const refuse = (node: ReplayNode, arrival: Arrival, nowMs: number): void => {
    heldSumMs += nowMs - arrival.atMs;
    refusals += 1;
    const { kind } = arrival;
    if (arrival.first !== undefined) {
      refusedTwice += 1;
      return;
    }
    const tokens = kind.need.promptTokens + kind.need.outputTokens;
    const maxWaitMs = (arrival.atMs + kind.deadlineMs - nowMs) / 3;
    const rate = { tokensPerMs: rateOf(node, kind.priority, nowMs), unknownMs: 750 };
    const waitMs =
      refusesEarly && rate.tokensPerMs > 0
        ? node.promises.promise({ priority: kind.priority, tokens, maxWaitMs }, rate, nowMs)
        : node.schedule.reserveWaitMs(tokens, nowMs, maxWaitMs);
    const other = Math.floor(random() * nodeCount);
    const back = {
      kind,
      atMs: nowMs + waitMs,
      node: other,
      account: arrival.account,
      first: arrival,
    };
    later(back.atMs, () => {
      arrive(back, back.atMs);
    });
  };

  const stepOf = (node: ReplayNode) => (account: string) =>
    sharesAccounts ? tokenStep(node.accounts.tokensOf(account)) : 0;

  const attempt = (
    node: ReplayNode,
    arrival: Arrival,
    request: WaitingRequest,
    ahead: RoomAhead,
    nowMs: number,
  ) => {
    const { need, runMs, priority } = arrival.kind;
    const elsewhere = shares ? node.peers.tokensAhead(request, stepOf(node), nowMs) : 0;
    const admission = admitGeneration(
      node.members,
      need,
      engineTokens,
      {
        nowMs,
        excludedUpstreams: ahead.savedEngines,
        withdrawnDataCentres: new Set(),
        allows: () => true,
        unknownPlacements: 3,
        peerUse: (upstream) => ({
          ...{ upstream, requests: 0, promptTokens: 0, copyTokens: 0 },
          memoryTokens: node.used.get(upstream) ?? 0,
        }),
      },
      {
        reserveShare: 0,
        firstEventWithinMs: Infinity,
        tokensAhead: ahead.tokens + elsewhere,
        urgentRoom: shares
          ? node.peers.urgentRoom(priority)
          : { tokens: 0, tokensEach: 0, tokensPerMs: 0 },
      },
      random,
    );
    if (admission.kind !== 'placed') {
      const leftMs = (node.waitUntil.get(request.id) ?? 0) - nowMs;
      const rate = rateOf(node, priority, nowMs);
      const lacking = admission.kind === 'no-memory' ? admission.lackingTokens : 0;
      if (refusesEarly && rate > 0 && lacking / rate > leftMs) {
        refuse(node, arrival, nowMs);
        return { kind: 'left' as const, started: false };
      }
      return admission.kind === 'no-memory' && admission.roomiestEngine !== undefined
        ? { kind: 'waits' as const, savedEngine: admission.roomiestEngine }
        : { kind: 'waits' as const };
    }
    const { id } = admission.member.upstream;
    started.set(arrival.first ?? arrival, nowMs - arrival.atMs);
    changeUse(node, id, request.tokens, nowMs);
    node.accounts.add(request.account, request.tokens);
    // Generations of one length would end together and leave room in bursts only.
    const endMs = nowMs + runMs * (0.3 + 1.4 * random());
    later(endMs, () => {
      changeUse(node, id, -request.tokens, endMs);
      node.accounts.add(request.account, -request.tokens);
    });
    return { kind: 'left' as const, started: true };
  };

  const shareDemand = (node: ReplayNode, name: string, nowMs: number): void => {
    const waiting = [...node.queue.requests()].map((request) => ({
      ...request,
      waitUntilMs: node.waitUntil.get(request.id) ?? 0,
    }));
    const needs = node.arrivals.needs(nowMs);
    const promised = node.promises.own(nowMs);
    node.peers.updateNeeds('', needs);
    node.sharedAtMs = nowMs;
    later(nowMs + delayMs(), () => {
      for (const other of nodes) {
        if (other !== node) {
          other.peers.update(name, waiting);
          other.peers.updateNeeds(name, needs);
          other.promises.update(name, promised, nowMs);
        }
      }
    });
  };

  const shareAccounts = (node: ReplayNode, name: string, nowMs: number): void => {
    const own = node.accounts.own();
    node.accountsSharedAtMs = nowMs;
    later(nowMs + delayMs(), () => {
      for (const other of nodes) {
        if (other !== node) {
          other.accounts.update(name, own);
        }
      }
    });
  };

  const arrive = (arrival: Arrival, nowMs: number): void => {
    const node = nodes[arrival.node];
    if (node === undefined) {
      return;
    }
    const { priority, need, maxWaitMs, deadlineMs } = arrival.kind;
    const id = String(arrivals.length);
    arrivals.push(arrival);
    const tokens = need.promptTokens + need.outputTokens;
    const isReturn = arrival.first !== undefined;
    const waitMs = isReturn ? 2 * maxWaitMs : maxWaitMs;
    node.arrivals.record(priority, tokens, waitMs, nowMs);
    node.waitUntil.set(id, nowMs + waitMs);
    node.queue.add({
      ...{ id, priority, isReturn, account: arrival.account, tokens },
      deadlineAtMs: (arrival.first ?? arrival).atMs + deadlineMs,
    });
  };
  let next = 0;
  for (let nowMs = 0; nowMs < loadMs + 12_000; nowMs += stepMs) {
    applyDue(nowMs);
    if (nowMs > warmUpMs && nowMs < loadMs) {
      samples += 1;
      for (const tokens of trueUse.values()) {
        usedSum += Math.min(engineTokens, tokens);
        overflowSum += Math.max(0, tokens - engineTokens);
      }
    }
    for (; (firstArrivals[next]?.atMs ?? Infinity) <= nowMs; next += 1) {
      const arrival = firstArrivals[next];
      if (arrival !== undefined) {
        arrive(arrival, nowMs);
      }
    }
    for (const [index, node] of nodes.entries()) {
      for (const { id } of [...node.queue.requests()]) {
        if (nowMs > (node.waitUntil.get(id) ?? 0)) {
          node.queue.remove(id);
          const arrival = arrivals[Number(id)];
          if (arrival !== undefined) {
            refuse(node, arrival, nowMs);
          }
        }
      }
      node.queue.serve((request, ahead) => {
        const arrival = arrivals[Number(request.id)];
        return arrival === undefined
          ? { kind: 'left', started: false }
          : attempt(node, arrival, request, ahead, nowMs);
      });
      if (sharesAccounts && nowMs - node.accountsSharedAtMs >= 1000) {
        shareAccounts(node, String(index), nowMs);
      }
      if (
        shares &&
        nowMs - node.sharedAtMs >= 500 &&
        (node.queue.length() > 0 || node.promises.own(nowMs).length > 0)
      ) {
        shareDemand(node, String(index), nowMs);
      } else if (shares && nowMs - node.sharedAtMs >= 5000) {
        shareDemand(node, String(index), nowMs);
      }
    }
  }
  const capacity = samples * engineCount * engineTokens;
  return {
    started,
    heldMs: heldSumMs / Math.max(1, refusals),
    refusedTwice,
    used: usedSum / capacity,
    overflow: overflowSum / capacity,
  };
};

/** Share of the arrivals after the engines have filled that were served at the first or second attempt. */
export const servedShare = (
  arrivals: readonly Arrival[],
  { started }: Outcome,
  matches: (arrival: Arrival) => boolean,
): number => {
  const matching = arrivals.filter((one) => matches(one) && one.atMs > warmUpMs);
  return matching.filter((arrival) => started.has(arrival)).length / matching.length;
};
