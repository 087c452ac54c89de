import { expect } from 'chai';
import { ResumeTokens } from './resume-token.js';

const identity = { clientAccount: 'a', service: 's', upstream: 'u', generation: 'g' };
const tokens = ResumeTokens.create('secret');
const indexOrErrorKind = (token: string, account = 'a'): string =>
  tokens
    .verify(token, account)
    .caseOf({ Left: ({ kind }) => kind, Right: ({ nextIndex }) => `index ${nextIndex}` });

describe('resume token', () => {
  it('carries the next index, for every index of a generation', () => {
    const issue = tokens.issuer(identity);
    for (const index of [1, 2, 3, 4, 5, 8, 9, 40_000]) {
      expect(indexOrErrorKind(issue(index))).to.equal(`index ${index}`);
    }
  });

  it('is refused if altered, forged or issued to another account', () => {
    const token = tokens.issuer(identity)(7);
    const [prefix = '', , tag = ''] = token.split('.');
    const forged = ResumeTokens.create('another secret').issuer(identity)(7);
    for (const invalidToken of [
      `${prefix}.8.${tag}`,
      `${prefix}.3.${tag}`,
      forged,
      `x${token}`,
      '',
      'a.b',
    ]) {
      expect(indexOrErrorKind(invalidToken)).to.equal('resume-token-invalid');
    }
    expect(indexOrErrorKind(token, 'b')).to.equal('resume-token-invalid');
  });
});
