import { expect } from 'chai';
import { findFreePort } from '@zinniagrade/free-ports';
import { AddressHolder } from './address-holder.js';

describe('address holder', () => {
  it('keeps an address from others until it is released', async () => {
    // Guards against a fault of a taken address that takes nothing.
    const address = `127.0.0.1:${String(await findFreePort('127.0.0.1'))}`;
    const first = await AddressHolder.create(address);
    expect(await AddressHolder.create(address)).to.equal(undefined);
    await first?.release();
    const second = await AddressHolder.create(address);
    expect(second).not.to.equal(undefined);
    await second?.release();
  });
});
