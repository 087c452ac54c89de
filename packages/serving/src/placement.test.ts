import { Random } from '@zinniagrade/clock';
import { expect } from 'chai';
import { bearsMore, noteColdSend } from './cold-limit.js';
import { Fleet, type FleetMember } from './fleet.js';
import { PeerUse, ownUse } from './peer-use.js';
import {
  isUsable,
  memoryShare,
  placeCall,
  placeGeneration,
  runningShare,
  type Choice,
} from './placement.js';
import type { Upstream } from './upstream.js';

const engineTokens = 34_000;
const need = { promptTokens: 3000, outputTokens: 900 };

const createUpstream = (id: string, dataCentre = 'a', coldLeftMs = 0): Upstream => ({
  id,
  service: 'text',
  address: `127.0.0.1:${id}`,
  dataCentre,
  version: 'v1',
  slots: 24,
  state: 'ready',
  coldLeftMs,
});

const createFleet = (count: number): { fleet: Fleet; members: readonly FleetMember[] } => {
  const fleet = Fleet.create();
  for (let index = 0; index < count; index += 1) {
    fleet.register(createUpstream(String(index)), 0);
  }
  return { fleet, members: fleet.ofService('text') };
};

const createChoice = (peers: PeerUse, part: Partial<Choice> = {}): Choice => ({
  nowMs: 100,
  excluded: new Set(),
  withdrawn: new Set(),
  allows: () => true,
  peerUse: (upstream) => peers.at(upstream),
  ...part,
});

const send = (member: FleetMember, requestId: string, isBackup = false): void => {
  member.ownRuns.set(requestId, {
    requestId,
    sentAtMs: 0,
    promptTokens: isBackup ? 0 : need.promptTokens,
    expectedTokens: need.promptTokens + need.outputTokens,
    hasBegun: false,
    isBackup,
  });
};

describe('placement', () => {
  it('spreads a burst that several nodes send to engines with the same old report', () => {
    // Load pattern: an engine has just started, its report says idle, and all nodes read the report.
    const nodes = 7;
    const engines = 5;
    const fleets = Array.from({ length: nodes }, () => createFleet(engines));
    const peers = Array.from({ length: nodes }, () => PeerUse.create());
    const random = Random.create(1);
    for (let request = 0; request < 10; request += 1) {
      const node = request % nodes;
      const { members } = fleets[node] ?? createFleet(0);
      const choice = createChoice(peers[node] ?? PeerUse.create());
      const member = placeGeneration(members, need, engineTokens, choice, random);
      expect(member).not.to.equal(undefined);
      if (member !== undefined) {
        send(member, String(request));
      }
      for (const [other, use] of peers.entries()) {
        if (other !== node) {
          use.update(String(node), members.map(ownUse));
        }
      }
    }
    const counts = Array.from({ length: engines }, (_, engine) =>
      fleets.reduce(
        (sum, { fleet }) => sum + (fleet.members.get(String(engine))?.ownRuns.size ?? 0),
        0,
      ),
    );
    expect(Math.max(...counts)).to.equal(2);
  });

  it('sends nothing to upstreams that leave, are gone, or are in a withdrawn data centre', () => {
    const fleet = Fleet.create();
    const leaving = fleet.register({ ...createUpstream('1'), state: 'draining' }, 0);
    const gone = fleet.register(createUpstream('2'), 0);
    send(gone, 'r');
    fleet.remove('2', 50);
    const withdrawn = fleet.register(createUpstream('3', 'b'), 0);
    const choice = createChoice(PeerUse.create(), { withdrawn: new Set(['b']) });
    for (const member of [leaving, gone, withdrawn]) {
      expect(isUsable(member, choice)).to.equal(false);
    }
  });

  it('prefers engines with memory for the whole request over idle but full ones', () => {
    const { members } = createFleet(2);
    const [full, free] = members;
    if (full === undefined || free === undefined) {
      throw new Error('no engines');
    }
    for (let copy = 0; copy < 9; copy += 1) {
      send(full, `copy-${String(copy)}`, true);
    }
    send(free, 'r');
    const choice = createChoice(PeerUse.create());
    expect(memoryShare(full, need, engineTokens, choice)).to.be.greaterThan(1);
    expect(placeGeneration(members, need, engineTokens, choice, Random.create(1))).to.equal(free);
  });

  it('counts copies apart from running requests', () => {
    // Guards against copies that keep running requests waiting where memory is short.
    const { members } = createFleet(1);
    const [engine] = members;
    if (engine === undefined) {
      throw new Error('no engine');
    }
    send(engine, 'copy', true);
    const choice = createChoice(PeerUse.create());
    expect(runningShare(members, engineTokens, choice)).to.equal(0);
    send(engine, 'run');
    expect(runningShare(members, engineTokens, choice)).to.be.closeTo(3900 / engineTokens, 1e-9);
  });

  it('avoids an upstream that fails part of its calls or is slow', () => {
    const { members } = createFleet(3);
    const [failing, slow, sound] = members;
    if (failing === undefined || slow === undefined || sound === undefined) {
      throw new Error('no upstreams');
    }
    failing.latencyMs = 80;
    failing.failureShare = 0.4;
    slow.latencyMs = 600;
    sound.latencyMs = 80;
    const choice = createChoice(PeerUse.create());
    expect(placeCall(members, choice, Random.create(1))).to.equal(sound);
  });
});

describe('cold limit', () => {
  const bounds = { perSecond: 32, excess: 1.5, slack: 5 };

  it('keeps the sum over all nodes within the bound', () => {
    // Load pattern: an upstream comes back cold while every node has requests waiting.
    const nodes = 8;
    let sent = 0;
    for (let node = 0; node < nodes; node += 1) {
      const member = Fleet.create().register(createUpstream('1', 'a', 1000), 0);
      while (bearsMore(member, bounds, nodes, 10)) {
        noteColdSend(member, 10);
        sent += 1;
      }
    }
    expect(sent).to.be.greaterThan(0);
    expect(sent).to.be.at.most(bounds.perSecond * bounds.excess + bounds.slack);
  });

  it('lifts the limit once the upstream is warm', () => {
    const member = Fleet.create().register(createUpstream('1', 'a', 1000), 0);
    for (let request = 0; request < 100; request += 1) {
      noteColdSend(member, 10);
    }
    expect(bearsMore(member, bounds, 1, 11)).to.equal(false);
    expect(bearsMore(member, bounds, 1, 1001)).to.equal(true);
  });
});
