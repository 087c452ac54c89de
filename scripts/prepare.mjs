// Installs dependencies if they are missing or outdated, then builds, so that the npm scripts work
// on a fresh clone.
import { spawnSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';

process.chdir(new URL('..', import.meta.url).pathname);

const run = (command, ...args) => {
  const { status } = spawnSync(command, args, { stdio: ['ignore', 2, 2] });
  if (status !== 0) {
    process.exit(status ?? 1);
  }
};

const installedLockFile = 'node_modules/.package-lock.json';
const isInstalled =
  existsSync(installedLockFile) &&
  statSync(installedLockFile).mtimeMs >= statSync('package-lock.json').mtimeMs;

if (!isInstalled) {
  run('npm', 'ci', '--no-audit', '--no-fund');
}
run('npx', '--no-install', 'tsc', '-b');
