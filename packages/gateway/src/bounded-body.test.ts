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

  it('takes little more than its bytes if it comes in chunks of one byte', () => {
    // Guards against a response of 1 MB that fills the JavaScript heap with its chunks.
    const body = BoundedBody.create(10_000);
    for (let index = 0; index < 10_000; index += 1) {
      expect(body.add(Buffer.from([index % 256]))).to.equal(true);
    }
    expect(body.chunkCount()).to.equal(3);
    const whole = body.toBuffer();
    expect([whole.length, whole[0], whole[4096], whole[9999]]).to.deep.equal([10_000, 0, 0, 15]);
  });

  it('keeps chunks of all sizes in order', () => {
    // Guards against a response whose parts are swapped as small ones are copied.
    const body = BoundedBody.create(100_000);
    const sizes = [1, 4095, 1, 5000, 3, 4096, 2, 4094];
    const chunks = sizes.map((size, index) => Buffer.alloc(size, index));
    for (const chunk of chunks) {
      body.add(chunk);
    }
    expect(body.toBuffer().equals(Buffer.concat(chunks))).to.equal(true);
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
