import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { Log } from './log.js';
import { MemoryGate, type MemoryHolder } from './memory-gate.js';

const megabyte = 1024 * 1024;
const limitBytes = 200 * megabyte;

const createGate = (readResidentBytes: () => number, collected: string[] = []) => {
  const clock = VirtualClock.create();
  const gate = MemoryGate.create(clock, Log.createSilent(), {
    limitBytes,
    readResidentBytes,
    collect: (kind) => collected.push(kind),
  });
  return { clock, gate };
};

const createHolder = (bytes: number): MemoryHolder & { readonly shedBytes: () => number } => {
  let heldBytes = bytes;
  return {
    name: 'test',
    heldBytes: () => heldBytes,
    shed: (wanted) => {
      heldBytes -= wanted;
      return wanted;
    },
    shedBytes: () => bytes - heldBytes,
  };
};

describe('memory gate', () => {
  it('allows what fits into the memory that the process does not use', () => {
    // Guards against limits that leave out what the process uses beside the data that it counts.
    let resident = 100 * megabyte;
    const { clock, gate } = createGate(() => resident);
    gate.addHolder(createHolder(20 * megabyte));
    expect(gate.allows(50 * megabyte)).to.equal(true);
    expect(gate.allows(70 * megabyte)).to.equal(false);
    resident = 165 * megabyte;
    clock.advance(50);
    expect(gate.allows(megabyte)).to.equal(false);
  });

  it('allows a little while the memory in use stays high', () => {
    // Guards against refusing for ever because the allocator keeps memory that was freed.
    const { gate } = createGate(() => 190 * megabyte);
    expect(gate.allows(megabyte)).to.equal(true);
    expect(gate.allows(20 * megabyte)).to.equal(false);
  });

  it('keeps memory free for what the system receives on open connections', () => {
    // Guards against a process that is killed for bytes that it has not read.
    const { gate } = createGate(() => 100 * megabyte);
    expect(gate.allows(40 * megabyte)).to.equal(true);
    gate.addConnections(600);
    expect(gate.allows(40 * megabyte)).to.equal(false);
    gate.addConnections(-600);
    expect(gate.allows(40 * megabyte)).to.equal(true);
  });

  it('collects garbage first, and sheds only what is held above the floor', () => {
    // Guards against giving up requests for memory that is only not collected yet.
    let resident = 190 * megabyte;
    const collected: string[] = [];
    const { clock, gate } = createGate(() => resident, collected);
    const holder = createHolder(20 * megabyte);
    gate.addHolder(holder);
    clock.advance(50);
    expect(collected).to.deep.equal(['major']);
    expect(holder.shedBytes()).to.be.closeTo(12 * megabyte, megabyte);
    resident = 120 * megabyte;
    clock.advance(50);
    expect(holder.shedBytes()).to.be.closeTo(12 * megabyte, megabyte);
  });

  it('does not collect again and again while the memory in use stays high', () => {
    // Guards against a pause of the process each second for a collection that frees nothing.
    let resident = 190 * megabyte;
    const collected: string[] = [];
    const { clock, gate } = createGate(() => resident, collected);
    gate.addHolder(createHolder(20 * megabyte));
    clock.advance(10_000);
    expect(collected).to.deep.equal(['major']);
    resident = 195 * megabyte;
    clock.advance(10_000);
    expect(collected).to.deep.equal(['major', 'major']);
    gate.recordFreed(16 * megabyte);
    clock.advance(50);
    expect(collected).to.have.length(3);
  });

  it('does not collect while little is held and little was received, however full the memory is', () => {
    // Guards against a pause each second of a process whose memory is taken by the program itself.
    let resident = 165 * megabyte;
    const collected: string[] = [];
    const { clock, gate } = createGate(() => resident, collected);
    gate.addHolder(createHolder(megabyte));
    for (let second = 0; second < 60; second += 1) {
      resident += megabyte / 2;
      gate.recordReceived(64 * 1024);
      clock.advance(1000);
    }
    expect(collected).to.deep.equal([]);
  });

  it('collects while much is held', () => {
    // Guards against buffers that holders have replaced and that stay in memory.
    let resident = 170 * megabyte;
    const collected: string[] = [];
    const { clock, gate } = createGate(() => resident, collected);
    gate.addHolder(createHolder(9 * megabyte));
    clock.advance(50);
    expect(collected).to.deep.equal(['major']);
    resident += 5 * megabyte;
    clock.advance(1000);
    expect(collected).to.deep.equal(['major', 'major']);
  });

  it('collects what was received and dropped, though nothing is held', () => {
    // Guards against a process that is killed for refused bodies whose buffers are not collected.
    let resident = 170 * megabyte;
    const collected: string[] = [];
    const { clock, gate } = createGate(() => resident, collected);
    const receive = (): void => {
      for (let received = 0; received < 9; received += 1) {
        gate.recordReceived(megabyte);
      }
    };
    const majors = (): number => collected.filter((kind) => kind === 'major').length;
    receive();
    clock.advance(50);
    expect(majors()).to.equal(1);
    resident += 5 * megabyte;
    clock.advance(10_000);
    expect(majors()).to.equal(1);
    receive();
    clock.advance(50);
    expect(majors()).to.equal(2);
  });

  it('collects what was freed, though nothing is held any more', () => {
    // Guards against answers that were given up and stay in memory until V8 collects by itself.
    const collected: string[] = [];
    const { clock, gate } = createGate(() => 170 * megabyte, collected);
    clock.advance(50);
    expect(collected).to.deep.equal([]);
    gate.recordFreed(9 * megabyte);
    clock.advance(50);
    expect(collected).to.deep.equal(['major']);
  });

  it('reads the memory and frees dropped buffers while much is received', () => {
    // Guards against buffers that add up between two runs of the timer.
    let reads = 0;
    const collected: string[] = [];
    const { gate } = createGate(() => {
      reads += 1;
      return 100 * megabyte;
    }, collected);
    for (let received = 0; received < 8; received += 1) {
      gate.recordReceived(megabyte);
    }
    expect(reads).to.be.at.least(8);
    expect(collected).to.deep.equal(['minor', 'minor']);
  });
});
