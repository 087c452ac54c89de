import { Random, VirtualClock } from '@zinniagrade/clock';
import {
  placeCall,
  placeGeneration,
  recordAnswer,
  recordFirstEvent,
  type FleetMember,
  type Upstream,
  type UpstreamUse,
} from '@zinniagrade/serving';
import { ClusterState } from './cluster-state.js';
import { Log } from './log.js';
import type { PeerTopic, RowFields } from './peer-topics.js';
import type {
  Exchange,
  ExchangeEvents,
  ResponseHead,
  RunCopy,
  UpstreamClient,
  UpstreamRequest,
} from './upstream-client.js';
import { UpstreamPace } from './upstream-pace.js';

const tickMs = 10;
export const nodeCount = 61;
/** Time until the other nodes know of a change. */
const newsDelayMs = 65;
const engineMemoryTokens = 26_900;
export const need = { promptTokens: 3000, outputTokens: 400 };

const sealedHead = (status: number): ResponseHead => ({
  status,
  headers: [],
  notExecuted: status === 503,
  matchesRequest: true,
  sealed: true,
  endsWithConnection: false,
  closesConnection: false,
  leaving: false,
});

/** An upstream that answers in order, with a time for each request and a bounded queue. */
export interface Model {
  readonly upstream: Upstream;
  isDown: boolean;
  freeAtMs: number;
  inside: number;
  maxInside: number;
  refused: number;
  lost: number;
}

interface Node {
  readonly cluster: ClusterState;
  readonly pace: UpstreamPace;
  readonly send: (prompt: typeof need | undefined, copy?: RunCopy) => boolean;
}

/** A simulated site: nodes with their own view of the upstreams, and a delay for what they share. */
export interface Site {
  readonly clock: VirtualClock;
  readonly nodes: readonly Node[];
  readonly models: Map<string, Model>;
  readonly add: (id: string, slots: number) => Model;
  readonly remove: (id: string) => void;
  /** Sets how many other nodes each node hears of. */
  readonly setAlive: (count: number) => void;
  /** Requests for which a node found no upstream. */
  readonly unplaced: () => number;
  /** Times to the full share, as all nodes have found them. */
  readonly risesMs: number[];
  /** Sends at random nodes at this rate. */
  readonly run: (forMs: number, perSecond: number, prompt?: typeof need) => void;
}

interface SiteOptions {
  readonly serviceMs: number;
  readonly queue: number;
  readonly streamMs: number;
  readonly isShared: boolean;
}

export const createSite = (options: SiteOptions): Site => {
  const clock = VirtualClock.create();
  const random = Random.create(7);
  const models = new Map<string, Model>();
  const topics: PeerTopic[] = [];
  const risesMs: number[] = [];
  let unknownPlacements = 0;
  let alive = nodeCount - 1;
  let unplaced = 0;
  /** Requests in flight and queued prompt tokens, as announced by all nodes. */
  const announced = new Map<string, { requests: number; promptTokens: number }>();
  const announce = (id: string, requests: number, promptTokens: number): void => {
    clock.after(newsDelayMs, () => {
      const sum = announced.get(id) ?? { requests: 0, promptTokens: 0 };
      sum.requests += requests;
      sum.promptTokens += promptTokens;
      announced.set(id, sum);
    });
  };

  const send = (request: UpstreamRequest, events: ExchangeEvents): Exchange => {
    const model = models.get(request.upstream.id);
    const isGeneration = request.request.prompt !== undefined;
    if (model === undefined || model.isDown) {
      if (model !== undefined) {
        model.lost += 1;
      }
      clock.after(1, () => {
        events.onFailure({ possiblySent: false, reason: 'connection refused' });
      });
    } else if (model.inside >= model.upstream.slots + options.queue) {
      model.refused += 1;
      clock.after(2, () => {
        events.onHead(sealedHead(503));
        events.onEnd();
      });
    } else {
      model.inside += 1;
      model.maxInside = Math.max(model.maxInside, model.inside);
      const lanes = isGeneration ? 1 : model.upstream.slots;
      model.freeAtMs = Math.max(
        model.freeAtMs,
        clock.monotonicMs() + options.serviceMs * (1 - 1 / lanes),
      );
      model.freeAtMs += options.serviceMs / lanes;
      clock.after(model.freeAtMs - clock.monotonicMs(), () => {
        events.onHead(sealedHead(200));
        events.onData(Buffer.from('id: 1\n\n'));
        model.inside -= 1;
        clock.after(options.streamMs, events.onEnd);
      });
    }
    return { abort: () => undefined };
  };

  const createNode = (node: string): Node => {
    const cluster = ClusterState.create(Log.createSilent());
    const peerUse = (id: string): UpstreamUse => {
      const { requests, promptTokens } = announced.get(id) ?? { requests: 0, promptTokens: 0 };
      return { upstream: id, requests, promptTokens, memoryTokens: 0, copyTokens: 0 };
    };
    const pace = UpstreamPace.create(clock, Log.createSilent(), cluster, {
      node,
      knowsUpstreams: () => clock.monotonicMs() > 0,
      aliveNodes: () => new Set(Array.from({ length: alive }, (_, index) => String(index))),
      openTopic: (topic: PeerTopic) => {
        topics.push(topic);
        return (fields: RowFields) => {
          clock.after(newsDelayMs, () => {
            for (const other of topics) {
              if (other !== topic && !other.receive(node, fields)) {
                throw new Error('a row of the topic is invalid');
              }
            }
          });
        };
      },
      isSharedByAll: () => options.isShared,
      peerUse,
      unknownPlacements: () => unknownPlacements,
      recordRise: (durationMs) => {
        risesMs.push(durationMs);
      },
    });
    const client = pace.observe({ send } as unknown as UpstreamClient);
    let sends = 0;
    return {
      cluster,
      pace,
      send: (prompt, copy) => {
        const constraints = {
          nowMs: clock.monotonicMs(),
          excludedUpstreams: new Set<string>(),
          withdrawnDataCentres: new Set<string>(),
          allows: pace.allows,
          peerUse,
          unknownPlacements,
        };
        const members = cluster.fleet.ofService('service');
        const member =
          prompt === undefined
            ? placeCall(members, constraints, random)
            : placeGeneration(members, prompt, engineMemoryTokens, constraints, random);
        if (member === undefined) {
          return false;
        }
        sendTo(member, prompt, copy, `${node}#${String((sends += 1))}`);
        return true;
      },
    };

    function sendTo(
      member: FleetMember,
      prompt: typeof need | undefined,
      copy: RunCopy | undefined,
      key: string,
    ): void {
      const { id } = member.upstream;
      const sentAtMs = clock.monotonicMs();
      const promptTokens = prompt?.promptTokens ?? 0;
      const run = { requestId: key, sentAtMs, promptTokens, expectedTokens: 0, isBackup: false };
      const own = { ...run, hasBegun: false };
      const tokensAhead = peerUse(id).promptTokens + promptTokens;
      member.ownRuns.set(key, own);
      announce(id, 1, promptTokens);
      const finish = (failed: boolean): void => {
        member.ownRuns.delete(key);
        announce(id, -1, own.hasBegun ? 0 : -promptTokens);
        const nowMs = clock.monotonicMs();
        const answer = { latencyMs: nowMs - sentAtMs, failed, isOfUpstream: true };
        recordAnswer(member, answer, nowMs);
      };
      client.send(
        {
          upstream: member.upstream,
          request: { ...(prompt === undefined ? {} : { prompt }) },
          ...(copy === undefined ? {} : { copy }),
        } as unknown as UpstreamRequest,
        {
          onHead: () => undefined,
          onData: () => {
            own.hasBegun = true;
            announce(id, 0, -promptTokens);
            const nowMs = clock.monotonicMs();
            recordFirstEvent(member, nowMs - sentAtMs, tokensAhead, nowMs);
          },
          onEnd: () => {
            finish(false);
          },
          onFailure: () => {
            member.avoidUntilMs = clock.monotonicMs() + 500;
            finish(true);
          },
        },
      );
    }
  };

  const names = Array.from({ length: nodeCount }, (_, index) => `node-${String(index)}`);
  const nodes = names.map(createNode);
  for (const { cluster } of nodes) {
    for (const node of names) {
      const entry = { node, dataCentre: 'a', callerAddress: 'a:1', capacity: 1, leaving: false };
      cluster.apply({ kind: 'node', node, entry }, 1, 0);
    }
  }
  return {
    clock,
    nodes,
    models,
    risesMs,
    add: (id, slots) => {
      const upstream: Upstream = {
        id,
        service: 'service',
        address: `127.0.0.1:${id}`,
        dataCentre: 'a',
        version: 'v1',
        slots,
        state: 'ready',
        coldLeftMs: 0,
      };
      const model = {
        upstream,
        isDown: false,
        freeAtMs: 0,
        inside: 0,
        maxInside: 0,
        refused: 0,
        lost: 0,
      };
      models.set(id, model);
      for (const { cluster } of nodes) {
        cluster.apply({ kind: 'upstream', id, upstream }, 1, clock.monotonicMs());
      }
      return model;
    },
    setAlive: (count) => {
      alive = count;
    },
    unplaced: () => unplaced,
    remove: (id) => {
      models.delete(id);
      for (const { cluster } of nodes) {
        cluster.apply({ kind: 'upstream', id, upstream: undefined }, 1, clock.monotonicMs());
      }
    },
    run: (forMs, perSecond, prompt) => {
      unknownPlacements = (perSecond * newsDelayMs) / 1000;
      const endMs = clock.monotonicMs() + forMs;
      while (clock.monotonicMs() < endMs) {
        for (let due = (perSecond * tickMs) / 1000; due > random(); due -= 1) {
          unplaced += nodes[Math.floor(random() * nodeCount)]?.send(prompt) === true ? 0 : 1;
        }
        clock.advance(tickMs);
      }
    },
  };
};
