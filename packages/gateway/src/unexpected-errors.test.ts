import { VirtualClock } from '@zinniagrade/clock';
import { expect } from 'chai';
import { Log } from './log.js';
import { UnexpectedErrors } from './unexpected-errors.js';

const createErrors = () => {
  const clock = VirtualClock.create();
  const logged: unknown[] = [];
  let replaced = 0;
  const errors = UnexpectedErrors.create(
    clock,
    {
      ...Log.createSilent(),
      event: (_name, fields) => {
        logged.push(fields?.reason);
      },
    },
    () => (replaced += 1),
  );
  return { clock, logged, errors, replaced: () => replaced };
};

describe('unexpected errors', () => {
  it('are logged, and the process goes on', () => {
    // Guards against one malformed message that ends all streams of a process.
    const { errors, logged, replaced } = createErrors();
    errors.handle(new Error('broken'));
    errors.handle('not an error');
    expect(logged[0]).to.match(/Error: broken\n/);
    expect(logged[1]).to.equal('not an error');
    expect(replaced()).to.equal(0);
  });

  it('replace the process if there are many within a short time', () => {
    const { clock, errors, replaced } = createErrors();
    for (let count = 0; count < 30; count += 1) {
      errors.handle(new Error('rare'));
      clock.advance(2000);
    }
    expect(replaced()).to.equal(0);
    for (let count = 0; count < 11; count += 1) {
      errors.handle(new Error('frequent'));
    }
    expect(replaced()).to.equal(1);
  });
});
