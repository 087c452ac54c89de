import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { LineOutput } from './line-output.js';

const module = fileURLToPath(new URL('line-output.js', import.meta.url));

/** A process that writes far more than a pipe holds and then says that its loop still turns. */
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
  it('writes lines in order, in one write where they wait', () => {
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

  it('writes the rest of what was taken in part, and again what was not taken', async () => {
    // Guards against lines that are cut where a pipe is nearly full.
    let taken = '';
    let calls = 0;
    const output = LineOutput.create((bytes, done) => {
      calls += 1;
      if (calls === 1) {
        done(Object.assign(new Error('full'), { code: 'EAGAIN' }), 0);
        return;
      }
      taken += bytes.subarray(0, 2).toString();
      done(null, Math.min(2, bytes.length));
    });
    output.stream.write('abcde\n');
    await output.flush(1000);
    expect(taken).to.equal('abcde\n');
    expect(output.drainDropped()).to.equal(0);
  });

  it('keeps a bounded number of lines where nobody reads them, and counts what it drops', async () => {
    // Guards against a gateway that runs out of memory because a log collector stands still.
    const child = spawn(process.execPath, ['--input-type=module', '-e', floodingProgram], {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
    });
    try {
      const dropped = await new Promise((resolve, reject) => {
        child.once('message', resolve);
        setTimeout(() => {
          reject(new Error('the process stands still'));
        }, 5000).unref();
      });
      expect(dropped).to.be.greaterThan(0);
    } finally {
      child.kill('SIGKILL');
    }
  });
});
