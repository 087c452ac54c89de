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
import { expect } from 'chai';
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
import { UpstreamPace, type UpstreamPaceOptions } from './upstream-pace.js';

const tickMs = 10;
const nodeCount = 61;
/** Time until the other nodes know of a change. */
const newsDelayMs = 65;
const engineMemoryTokens = 26_900;
const plainSlots = 6;
/** Of the 800 a second that four plain upstreams bear. */
const fullLoadPerSecond = 740;
const engineCount = 34;
const engineSlots = 24;
const generationsPerSecond = 36;
const need = { promptTokens: 3000, outputTokens: 400 };

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
interface Model {
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

interface Site {
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

const createSite = (options: SiteOptions): Site => {
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
      const before = announced.get(id) ?? { requests: 0, promptTokens: 0 };
      announced.set(id, {
        requests: before.requests + requests,
        promptTokens: before.promptTokens + promptTokens,
      });
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
      const known = announced.get(id);
      return {
        upstream: id,
        requests: Math.max(0, known?.requests ?? 0),
        promptTokens: Math.max(0, known?.promptTokens ?? 0),
        memoryTokens: 0,
        copyTokens: 0,
      };
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
              expect(other === topic || other.receive(node, fields)).to.equal(true);
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
    } satisfies UpstreamPaceOptions);
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
        recordAnswer(member, clock.monotonicMs() - sentAtMs, failed);
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
            recordFirstEvent(member, clock.monotonicMs() - sentAtMs, tokensAhead);
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

const plainSite = (isShared: boolean): { site: Site; first: Model } => {
  const site = createSite({ serviceMs: 30, queue: 24, streamMs: 0, isShared });
  const [first] = ['app-0', 'app-1', 'app-2', 'app-3'].map((id) => site.add(id, plainSlots));
  if (first === undefined) {
    throw new Error('no upstream');
  }
  site.run(3000, fullLoadPerSecond);
  return { site, first };
};

/** Runs at full load; returns the largest number of requests inside the upstream in that time. */
const maxInside = (site: Site, model: Model, forMs: number): number => {
  model.maxInside = 0;
  site.run(forMs, fullLoadPerSecond);
  return model.maxInside;
};

const limitsOf = (site: Site, id: string): readonly (number | undefined)[] =>
  site.nodes.map(({ pace }) => pace.limits().get(id));

describe('pace of upstreams', () => {
  it('lets a plain upstream recover under full load', () => {
    // Guards against a recovered upstream that all nodes flood at once, or that stays idle.
    const { site, first } = plainSite(true);
    first.isDown = true;
    site.run(3000, fullLoadPerSecond);
    first.isDown = false;
    const refusedBefore = first.refused;
    // Nodes avoid an upstream for half a second after a connection to it has failed.
    expect(maxInside(site, first, 900)).to.be.within(1, plainSlots);
    expect(first.refused).to.equal(refusedBefore);
    site.run(1100, fullLoadPerSecond);
    expect(new Set(limitsOf(site, 'app-0'))).to.deep.equal(new Set([undefined]));
  });

  it('lets a plain upstream start under full load', () => {
    // Guards against a new upstream that all nodes choose at the same time, as it is idle.
    const { site } = plainSite(true);
    site.remove('app-0');
    site.run(1000, fullLoadPerSecond);
    const fresh = site.add('app-9', plainSlots);
    expect(maxInside(site, fresh, 300)).to.be.within(1, plainSlots);
    expect(fresh.refused).to.equal(0);
    site.run(1700, fullLoadPerSecond);
    expect(new Set(limitsOf(site, 'app-9'))).to.deep.equal(new Set([undefined]));
    expect(site.risesMs).to.have.length(nodeCount);
  });

  it('is not set back by one node that reaches an upstream no more', () => {
    // Guards against a node with a broken path that takes a sound upstream away from all others.
    const { site, first } = plainSite(true);
    first.isDown = true;
    for (let request = 0; request < 50; request += 1) {
      site.nodes[0]?.send(undefined);
      site.clock.advance(100);
    }
    expect(first.lost).to.be.greaterThan(0);
    expect(new Set(limitsOf(site, 'app-0'))).to.deep.equal(new Set([undefined]));
  });

  it('rests beside nodes of an earlier version', () => {
    // Guards against nodes that hold back alone, while those of an earlier version take the room.
    const { site } = plainSite(false);
    site.remove('app-0');
    site.run(1000, fullLoadPerSecond);
    const fresh = site.add('app-9', plainSlots);
    expect(maxInside(site, fresh, 300)).to.be.greaterThan(plainSlots);
  });

  it('spreads requests to a sixth of the engines that restart every 3.3 s', () => {
    // Guards against restarted engines that get more prompts than they bear while they are slow, and
    // against generations for which the pace leaves no engine.
    const site = createSite({ serviceMs: 420, queue: 100, streamMs: 6000, isShared: true });
    for (let index = 0; index < engineCount; index += 1) {
      site.add(`engine-${String(index)}`, engineSlots);
    }
    site.run(3000, generationsPerSecond, need);
    const started: Model[] = [];
    for (let round = 0; round < 5; round += 1) {
      for (const id of [...site.models.keys()].slice(0, engineCount / 6)) {
        site.remove(id);
      }
      site.run(1650, generationsPerSecond, need);
      for (let index = 0; index < Math.floor(engineCount / 6); index += 1) {
        const engine = site.add(`engine-${String(round)}-${String(index)}`, engineSlots);
        engine.freeAtMs = site.clock.monotonicMs() + 1000;
        started.push(engine);
      }
      site.run(1650, generationsPerSecond, need);
    }
    for (const engine of started) {
      expect(engine.maxInside).to.be.within(1, engineSlots / 6 + 1);
    }
    expect(site.unplaced()).to.equal(0);
    const inTime = site.risesMs.filter((tookMs) => tookMs <= 10_000);
    expect(inTime.length).to.be.greaterThan(site.risesMs.length / 2);
  });

  for (const copy of [undefined, { reference: 'copy' }]) {
    it(`rises by long ${copy === undefined ? 'generations' : 'moved streams'} that come at once`, () => {
      // Guards against an engine that stays at its first step until the streams there have ended.
      const site = createSite({ serviceMs: 60, queue: 100, streamMs: 60_000, isShared: true });
      site.run(100, 0);
      site.add('engine-1', engineSlots);
      site.clock.advance(100);
      for (const node of site.nodes.slice(0, engineSlots / 6)) {
        node.send(need, copy);
      }
      site.clock.advance(1000);
      expect(new Set(limitsOf(site, 'engine-1'))).to.deep.equal(new Set([engineSlots / 3]));
    });
  }

  it('keeps a node that is cut off within its part', () => {
    // Guards against a node that hears of no other one and fills the upstream by itself.
    const { site } = plainSite(true);
    site.setAlive(0);
    site.add('app-9', plainSlots);
    let allowed = 0;
    for (const { cluster, pace } of site.nodes) {
      const member = cluster.fleet.members.get('app-9');
      allowed += member !== undefined && pace.allows(member) ? 1 : 0;
    }
    expect(allowed).to.equal(1);
  });
});
