import { expect } from 'chai';
import { z } from 'zod';
import { checkDocument, formatFieldErrors } from './read-settings.js';

const schema = z.strictObject({
  port: z.number().int(),
  store: z.strictObject({ host: z.string() }),
});

const errorsOf = (document: unknown): string =>
  checkDocument(schema, document).caseOf({ Left: formatFieldErrors, Right: () => '' });

describe('settings', () => {
  it('reports the path, the expected type and the value found for a wrong type', () => {
    expect(errorsOf({ port: 'x', store: { host: 'a' } })).to.match(/^port: .*number.*found "x"$/);
  });

  it('reports an unknown field', () => {
    expect(errorsOf({ port: 1, store: { host: 'a', hots: 1 } })).to.match(/^store: .*hots/);
  });

  it('reports a missing field', () => {
    expect(errorsOf({ port: 1, store: {} })).to.match(/^store\.host: .*found nothing$/);
  });

  it('accepts a valid document', () => {
    expect(errorsOf({ port: 1, store: { host: 'a' } })).to.equal('');
  });
});
