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

  it('does not return changes if removals since then are forgotten', () => {
    // Guards against a node that keeps an upstream which was removed long ago.
    const items = MirrorItems.create();
    for (let index = 1; index <= 2002; index += 1) {
      items.set(`k${String(index)}`, value, 2 * index);
      items.remove(`k${String(index)}`, 2 * index + 1);
    }
    expect(items.changesAfter(4)).to.equal(undefined);
    expect(items.changesAfter(4000)).not.to.equal(undefined);
    expect(items.changesAfter(0)).not.to.equal(undefined);
  });

  it('has the same digest for the same entries, in whatever order they came', () => {
    // Guards against nodes that hold different entries at the same revision and don't notice it.
    const first = MirrorItems.create();
    const second = MirrorItems.create();
    first.set('a', value, 1);
    first.set('b', value, 2);
    first.set('a', value, 3);
    first.set('c', value, 4);
    second.set('b', value, 2);
    second.set('a', value, 3);
    expect(first.digest()).not.to.equal(second.digest());
    first.remove('c', 5);
    expect(first.digest()).to.equal(second.digest());
    second.remove('b', 6);
    expect(first.digest()).not.to.equal(second.digest());
  });
});
