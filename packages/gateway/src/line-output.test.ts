import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { LineOutput } from './line-output.js';

const module = fileURLToPath(new URL('line-output.js', import.meta.url));

/**
 * Writes far more than a pipe buffer holds, then reports over IPC that its event loop isn't
 * blocked.
 */
const floodingProgram = `
import { write } from 'node:fs';
import { LineOutput } from ${JSON.stringify(module)};
const output = LineOutput.create((bytes, done) => write(1, bytes, done));
for (let line = 0; line < 20000; line += 1) {
  output.stream.write('x'.repeat(100) + '\\n');
}
setTimeout(() => process.send(output.drainDropped()), 50);
`;

describe('line output', () => {
  it('writes lines in order, and queued lines in one write', () => {
    const written: string[] = [];
    const pending: (() => void)[] = [];
    const output = LineOutput.create((bytes, done) => {
      written.push(bytes.toString());
      pending.push(() => {
        done(null, bytes.length);
      });
    });
    for (const line of ['a\n', 'b\n', 'c\n']) {
      output.stream.write(line);
    }
    pending.shift()?.();
    expect(written).to.deep.equal(['a\n', 'b\nc\n']);
  });

  it('continues after a partial write and retries after EAGAIN', async () => {
    // Guards against truncated lines when a pipe is nearly full.
    let accepted = '';
    let calls = 0;
    const output = LineOutput.create((bytes, done) => {
      calls += 1;
      if (calls === 1) {
        done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0);
        return;
      }
      accepted += bytes.subarray(0, 2).toString();
      done(null, Math.min(2, bytes.length));
    });
    output.stream.write('abcde\n');
    await output.flush(1000);
    expect(accepted).to.equal('abcde\n');
    expect(output.drainDropped()).to.equal(0);
  });

  it('queues a bounded number of lines when nobody reads, and counts dropped lines', async () => {
    // Guards against a gateway that runs out of memory because its log collector has stopped
    // reading.
    const child = spawn(process.execPath, ['--input-type=module', '-e', floodingProgram], {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
    });
    try {
      const dropped = await new Promise((resolve, reject) => {
        child.once('message', resolve);
        setTimeout(() => {
          reject(new Error('the process sent no message within 5 s'));
        }, 5000).unref();
      });
      expect(dropped).to.be.greaterThan(0);
    } finally {
      child.kill('SIGKILL');
    }
  });
});
