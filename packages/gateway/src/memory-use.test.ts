import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { Log, type LogFields } from './log.js';
import { keepFormerValue, MemoryWatch, readMemoryUse } from './memory-use.js';

describe('memory watch', () => {
  it('logs each step of the memory in use once, with what holds it', () => {
    // Guards against a process that is killed for its memory and leaves no line that shows it.
    const clock = VirtualClock.create();
    const lines: LogFields[] = [];
    let resident = 30;
    MemoryWatch.create(
      clock,
      { ...Log.createSilent(), event: (_name, fields) => lines.push(fields ?? {}) },
      {
        limitBytes: 100,
        read: () => ({ resident, heap: 10, buffers: 5 }),
        held: () => ({ requestBodies: 3 }),
      },
    );
    for (const next of [30, 52, 55, 71, 52, 71, 96]) {
      resident = next;
      clock.advance(100);
    }
    expect(lines.map((fields) => fields.resident)).to.deep.equal([52, 71, 96]);
    expect(lines[0]).to.include({ heap: 10, buffers: 5, limit: 100, requestBodies: 3 });
  });

  it('reads the memory of this process', () => {
    const { resident, heap, buffers } = readMemoryUse();
    expect(resident).to.be.greaterThan(heap);
    expect(buffers).to.be.greaterThan(0);
  });

  it('keeps the former value and goes on while the memory can not be read', () => {
    // Guards against a process that stops itself as it has no file descriptor left for the reading.
    const lines: string[] = [];
    const log: Log = { ...Log.createSilent(), event: (name) => lines.push(name) };
    let isReadable = true;
    const read = keepFormerValue(
      log,
      () => {
        if (!isReadable) {
          throw new Error('EMFILE');
        }
        return 7;
      },
      0,
    );
    expect(read()).to.equal(7);
    isReadable = false;
    expect([read(), read()]).to.deep.equal([7, 7]);
    expect(lines).to.deep.equal(['memory in use not readable']);
  });
});
