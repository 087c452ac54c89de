import { parseArgs } from 'node:util';
import { loadProofs } from './load-proofs.js';

const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: { policy: { type: 'string', default: 'current' } },
});
if (values.policy !== 'naive' && values.policy !== 'current') {
  process.stderr.write('--policy must be naive or current\n');
  process.exit(2);
}

let brokenCount = 0;
for (const proof of await loadProofs()) {
  if (positionals.length > 0 && !positionals.includes(proof.promise)) {
    continue;
  }
  const { held, detail } = await proof.run(values.policy);
  brokenCount += held ? 0 : 1;
  const verdict = held ? 'held' : 'broken';
  process.stdout.write(`${proof.promise} ${proof.fault} ${values.policy} ${verdict} ${detail}\n`);
}
process.exit(brokenCount > 0 ? 1 : 0);
