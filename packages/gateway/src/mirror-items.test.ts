import { expect } from 'chai';
import { MirrorItems } from './mirror-items.js';

const value = Buffer.from('v');

describe('mirror items', () => {
  it('takes each change once, also when it comes late or twice', () => {
    // Guards against an old value that comes back after a newer one was taken over from a node.
    const items = MirrorItems.create();
    expect(items.set('k', value, 5)).to.equal(true);
    expect(items.set('k', value, 5)).to.equal(false);
    expect(items.set('k', value, 4)).to.equal(false);
    expect(items.remove('k', 4)).to.equal(false);
    expect(items.remove('k', 9)).to.equal(true);
    expect(items.set('k', value, 8)).to.equal(false);
    expect(items.set('k', value, 10)).to.equal(true);
  });

  it('tells another node of values and removals above its revision', () => {
    const items = MirrorItems.create();
    items.set('old', value, 1);
    items.set('new', value, 5);
    items.set('gone', value, 2);
    items.remove('gone', 6);
    expect(items.after(3)).to.deep.equal([
      { key: 'new', revision: 5, value },
      { key: 'gone', revision: 6 },
    ]);
  });
});
