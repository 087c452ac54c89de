// Runs the compiled tests; with an argument, only those of folders whose path ends with it.
// Failures listed in KNOWN-RED.txt are printed but do not fail the run; all others do.
// CI reads the last line: "N passed, N failed, N skipped".
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import Mocha from 'mocha';

const knownRedFile = 'KNOWN-RED.txt';
const knownRedTitles = new Set(
  (existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8') : '')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim()),
);

const mocha = new Mocha({ timeout: 60_000, reporter: 'spec', forbidOnly: true });
const [folderSuffix] = process.argv.slice(2);
const folders = [
  ...readdirSync('packages')
    .sort()
    .map((name) => `packages/${name}`),
  'platform',
];
for (const folder of folders) {
  const dist = `${folder}/dist`;
  if (!existsSync(dist) || (folderSuffix !== undefined && !folder.endsWith(folderSuffix))) {
    continue;
  }
  for (const file of readdirSync(dist, { recursive: true }).sort()) {
    // Skips compiled tests whose source has been deleted since an earlier build.
    if (file.endsWith('.test.js') && existsSync(`${folder}/src/${file.replace(/\.js$/, '.ts')}`)) {
      mocha.addFile(`${dist}/${file}`);
    }
  }
}
await mocha.loadFilesAsync();

const failedTitles = [];
let passed = 0;
let skipped = 0;
const runner = mocha.run(() => {
  const knownFailures = failedTitles.filter((title) => knownRedTitles.has(title));
  for (const title of knownFailures) {
    console.log(`known red: ${title}`);
  }
  console.log(
    `${passed} passed, ${failedTitles.length - knownFailures.length} failed, ${skipped + knownFailures.length} skipped`,
  );
  process.exit(failedTitles.length > knownFailures.length || passed === 0 ? 1 : 0);
});
runner.on('pass', () => (passed += 1));
runner.on('pending', () => (skipped += 1));
runner.on('fail', (test) => failedTitles.push(test.fullTitle()));
