import { expect } from 'chai';
import { VirtualClock } from '@zinniagrade/clock';
import { Fleet } from '@zinniagrade/serving';
import type { Call, ServingContext } from './call.js';
import type { NodeEntry } from './cluster-state.js';
import { Log } from './log.js';
import { Metrics } from './metrics.js';
import { NodeRelay, type PassedOnOutcome } from './node-relay.js';
import type { ExchangeEvents, ResponseHead } from './upstream-client.js';

const entryOf = (node: string): NodeEntry => ({
  node,
  dataCentre: 'a',
  callerAddress: `${node}:1`,
  capacity: 1,
  leaving: false,
});

const createCall = (passedOnBy?: string): Call =>
  ({
    request: {
      id: 'request-1',
      ...(passedOnBy === undefined ? {} : { passedOn: { by: passedOnBy, possibleRuns: 0 } }),
    },
    service: { name: 'app' },
    callerDeadlineAtMs: 1000,
    arrivedAtMs: 0,
    onEnded: () => undefined,
  }) as unknown as Call;

const createHead = (part: Partial<ResponseHead>): ResponseHead => ({
  status: 200,
  headers: [],
  notExecuted: false,
  matchesRequest: true,
  sealed: true,
  endsWithConnection: false,
  closesConnection: false,
  leaving: false,
  ...part,
});

describe('relay to other nodes', () => {
  let isCutOff: boolean;
  let nodes: readonly NodeEntry[];
  let exchanges: ExchangeEvents[];
  let relay: NodeRelay;

  beforeEach(() => {
    isCutOff = true;
    nodes = [entryOf('b'), entryOf('c')];
    exchanges = [];
    relay = NodeRelay.create(
      {
        clock: VirtualClock.create(),
        random: () => 0,
        log: Log.createSilent(),
        metrics: Metrics.create(),
        limits: { maxResponseBytes: 100 },
        responseMemory: { take: () => true, free: () => undefined, usedBytes: () => 0 },
        reach: { isCutOff: () => isCutOff, nodesReaching: () => nodes },
        cluster: { fleet: Fleet.create() },
      } as unknown as ServingContext,
      'a',
      {
        send: (_request, events) => {
          exchanges.push(events);
          return { abort: () => undefined };
        },
        closeIdleExcept: () => undefined,
        close: () => undefined,
      },
    );
  });

  const nodeFor = (call: Call, tried: readonly string[] = [], unreached = 0): string => {
    const direction = relay.direct(call, new Set(tried), unreached);
    return direction.kind === 'pass-on' ? direction.node.node : direction.kind;
  };

  it('chooses the node with the fewest requests of this node in flight', () => {
    // Guards against one helping node that gets all requests of a cut-off one.
    relay.send(createCall(), entryOf('b'), 0, () => undefined);
    expect(nodeFor(createCall())).to.equal('c');
    relay.send(createCall(), entryOf('c'), 0, () => undefined);
    relay.send(createCall(), entryOf('c'), 0, () => undefined);
    expect(nodeFor(createCall())).to.equal('b');
    for (const exchange of exchanges.slice(1)) {
      exchange.onFailure({ possiblySent: true, reason: 'reset' });
    }
    expect(nodeFor(createCall())).to.equal('c');
  });

  it('tries two nodes at most, none twice', () => {
    expect(nodeFor(createCall(), ['b'])).to.equal('c');
    nodes = [...nodes, entryOf('d')];
    expect(nodeFor(createCall(), ['b', 'c'])).to.equal('refuse');
    nodes = [entryOf('b')];
    expect(nodeFor(createCall(), ['b'])).to.equal('refuse');
  });

  it('leaves requests to this node if it reaches the service or no other node does', () => {
    nodes = [];
    expect(nodeFor(createCall())).to.equal('serve-here');
    expect(nodeFor(createCall('z'))).to.equal('refuse');
    isCutOff = false;
    expect(nodeFor(createCall('z'))).to.equal('serve-here');
  });

  it('passes on what reached none of two upstreams, though the service is within reach', () => {
    // Guards against requests that fail while kept connections go on and new ones are refused, and
    // against one crashed upstream that sends requests over another node.
    isCutOff = false;
    expect(nodeFor(createCall(), [], 1)).to.equal('serve-here');
    expect(nodeFor(createCall(), [], 2)).to.equal('b');
    expect(nodeFor(createCall('z'), [], 2)).to.equal('serve-here');
    expect(nodeFor(createCall(), ['b', 'c'], 2)).to.equal('refuse');
  });

  const outcomeOf = (head: Partial<ResponseHead>): string => {
    let outcome: PassedOnOutcome | undefined;
    relay.send(createCall(), entryOf('b'), 0, (received) => (outcome = received));
    exchanges.at(-1)?.onHead(createHead(head));
    exchanges.at(-1)?.onEnd();
    const hasResponse = outcome !== undefined && 'response' in outcome;
    return `${String(outcome?.kind)}${hasResponse ? ' with response' : ''}`;
  };

  it('tells refusals of a node from responses of upstreams', () => {
    // Guards against a second run of what an upstream has run, and against a success without a seal.
    expect(outcomeOf({})).to.equal('answered with response');
    expect(outcomeOf({ status: 503 })).to.equal('answered with response');
    const own = { sealed: false, matchesRequest: false };
    expect(outcomeOf({ ...own, status: 503 })).to.equal('refused with response');
    expect(outcomeOf({ ...own, status: 429 })).to.equal('refused with response');
    expect(outcomeOf({ ...own, status: 502 })).to.equal('answered with response');
    expect(outcomeOf({ ...own, status: 504 })).to.equal('answered with response');
    expect(outcomeOf({ ...own, status: 200 })).to.equal('lost');
    expect(outcomeOf({ status: 200, matchesRequest: false })).to.equal('lost');
  });

  it('does not pass on that another node does not know the route or the account', () => {
    // Guards against a final error of a node with an older configuration.
    for (const status of [401, 404]) {
      expect(outcomeOf({ sealed: false, matchesRequest: false, status })).to.equal('refused');
    }
  });
});
