import { expect } from 'chai';
import { parseDeployedCommand, readDeployedCommand } from './deployed-command.js';

describe('deployed command', () => {
  it('has the heap limit of the deploy file', () => {
    // Guards against a soak whose processes may use more memory than the deployed ones.
    expect(readDeployedCommand().nodeOptions.join(' ')).to.match(/--max-old-space-size=\d+/);
  });

  it('is refused when its form is not known', () => {
    // Guards against options that are silently lost when the deploy file changes.
    expect(parseDeployedCommand('run = "node --a=1 -b x/y.mjs 9100"').nodeOptions).to.deep.equal([
      '--a=1',
      '-b',
    ]);
    expect(() => parseDeployedCommand('run = "sh start.sh 9100"')).to.throw('no line');
  });
});
