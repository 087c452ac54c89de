import { expect } from 'chai';
import { MirrorItems } from './mirror-items.js';

const value = Buffer.from('v');

describe('mirror items', () => {
  it('applies each change once, also if it arrives late or twice', () => {
    // Guards against an old value that overwrites a newer one received from another node.
    const items = MirrorItems.create();
    expect(items.set('k', value, 5)).to.equal(true);
    expect(items.set('k', value, 5)).to.equal(false);
    expect(items.set('k', value, 4)).to.equal(false);
    expect(items.remove('k', 4)).to.equal(false);
    expect(items.remove('k', 9)).to.equal(true);
    expect(items.set('k', value, 8)).to.equal(false);
    expect(items.set('k', value, 10)).to.equal(true);
  });

  it('returns values and removals after the revision of another node', () => {
    const items = MirrorItems.create();
    items.set('old', value, 1);
    items.set('new', value, 5);
    items.set('gone', value, 2);
    items.remove('gone', 6);
    expect(items.changesAfter(3)).to.deep.equal([
      { key: 'new', revision: 5, value },
      { key: 'gone', revision: 6 },
    ]);
  });
});
