import { expect } from 'chai';
import { BodyMemory, BoundedBody } from './bounded-body.js';

const kilobytes = (count: number): Buffer => Buffer.alloc(count * 1024);

describe('bounded body', () => {
  it('is bounded by itself, and with others by the memory that they share', () => {
    // Guards against many responses without end that are each below the limit of one.
    const memory = BodyMemory.create(100 * 1024);
    const first = BoundedBody.create(200 * 1024, memory);
    const second = BoundedBody.create(200 * 1024, memory);
    expect(BoundedBody.create(1024).add(kilobytes(2))).to.equal(false);
    expect(first.add(kilobytes(100))).to.equal(true);
    expect(second.add(kilobytes(100))).to.equal(false);
    first.release();
    first.release();
    expect(second.add(kilobytes(100))).to.equal(true);
    expect(second.add(kilobytes(40))).to.equal(false);
    expect(second.toBuffer()).to.have.lengthOf(100 * 1024);
  });

  it('always has room for its first part', () => {
    // Guards against small responses that fail because another upstream answers without end.
    const memory = BodyMemory.create(0);
    const body = BoundedBody.create(200 * 1024, memory);
    const fullMemory = BodyMemory.create(100, () => 200);
    expect(BoundedBody.create(200 * 1024, fullMemory).add(kilobytes(32))).to.equal(true);
    expect(body.add(kilobytes(32))).to.equal(true);
    expect(body.add(kilobytes(1))).to.equal(false);
  });
});
