import { expect } from 'chai';
import fc from 'fast-check';
import { PendingBytes } from './pending-bytes.js';

describe('pending bytes', () => {
  it('holds what was appended and not consumed, however it was cut', () => {
    // Guards against lost, repeated or overwritten bytes, also in views that a parser has handed on.
    const step = fc.record({ piece: fc.uint8Array({ maxLength: 40 }), share: fc.nat(4) });
    fc.assert(
      fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
        const pending = PendingBytes.create();
        let expected = Buffer.alloc(0);
        const views: { readonly view: Buffer; readonly copy: Buffer }[] = [];
        for (const { piece, share } of steps) {
          pending.append(Buffer.from(piece));
          expected = Buffer.concat([expected, piece]);
          const view = pending.view();
          expect(view.equals(expected)).to.equal(true);
          views.push({ view, copy: Buffer.from(view) });
          const consumed = Math.floor((expected.length * share) / 4);
          pending.consume(consumed);
          expected = expected.subarray(consumed);
          expect(pending.size()).to.equal(expected.length);
        }
        expect(views.every(({ view, copy }) => view.equals(copy))).to.equal(true);
      }),
    );
  });

  it('copies each byte a bounded number of times if they come one by one', () => {
    // Guards against a peer whose small pieces cost the square of their number.
    const size = 1_000_000;
    const piece = Buffer.from('x');
    const pending = PendingBytes.create();
    let storages = 0;
    let storage: ArrayBufferLike | undefined;
    for (let count = 0; count < size; count += 1) {
      pending.append(piece);
      const { buffer } = pending.view();
      storages += buffer === storage ? 0 : 1;
      storage = buffer;
    }
    expect(pending.size()).to.equal(size);
    expect(storages).to.be.at.most(2 + Math.log2(size));
  });
});
