import { expect } from 'chai';
import { Revision } from './metadata-store.js';
import { MirrorItems } from './mirror-items.js';

const value = Buffer.from('v');

describe('mirror items', () => {
  it('applies each change once, also if it arrives late or twice', () => {
    // Guards against an old value that overwrites a newer one received from another node.
    const items = MirrorItems.create();
    expect(items.set('k', value, 5)).to.equal('changed');
    expect(items.set('k', value, 5)).to.equal('old');
    expect(items.set('k', value, 4)).to.equal('old');
    expect(items.remove('k', 4)).to.equal(false);
    expect(items.remove('k', 9)).to.equal(true);
    expect(items.set('k', value, 8)).to.equal('old');
    expect(items.set('k', value, 10)).to.equal('changed');
  });

  it('takes changes of a restored store for newer, and the same value for confirmed', () => {
    // Guards against changes with revisions that were given out before the restore.
    const items = MirrorItems.create();
    items.set('k', value, Revision.create(1, 90));
    expect(items.set('k', value, Revision.create(2, 50))).to.equal('confirmed');
    expect(items.set('k', value, Revision.create(2, 51))).to.equal('changed');
    expect(items.set('k', value, Revision.create(1, 91))).to.equal('old');
    expect(items.changesAfter(Revision.create(1, 95))).to.have.lengthOf(1);
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
