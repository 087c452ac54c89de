import { checkLoadResults } from './final-checks.js';
import { Reporter } from './reporter.js';
import { startLoad } from './load.js';
import { moveToBadVersion, moveToGoodVersion } from './moves.js';
import type { Demo } from './steps.js';
import {
  applyConfiguration,
  interruptStore,
  drainNode,
  freezeNode,
  killNode,
  waitUntilInForce,
  waitUntilJoined,
  warmUp,
  withdrawAndReturn,
} from './steps.js';
import { System, initialChanges, startNodes } from './system.js';

const reporter = Reporter.create((line) => process.stdout.write(`${line}\n`));

const runDemo = async (system: System): Promise<void> => {
  const upstreams = [...system.upstreams.values()].map(({ upstream }) => upstream);
  const revision = await applyConfiguration({ system, reporter }, initialChanges(upstreams));
  await startNodes(system);
  await waitUntilInForce(system, revision);
  reporter.print(
    `${system.nodes.length} nodes are up; ${(await waitUntilJoined(system)) ? 'each knows all others' : 'they do not know each other'}`,
  );
  const demo: Demo = { system, reporter, load: startLoad(system) };
  await warmUp(demo);
  const goodMove = moveToGoodVersion(demo);
  await killNode(demo);
  await withdrawAndReturn(demo);
  await goodMove;
  const badMove = moveToBadVersion(demo);
  await freezeNode(demo);
  await drainNode(demo);
  await badMove;
  await interruptStore(demo);
  await demo.load.stop();
  await checkLoadResults(demo);
};

const system = await System.create();
reporter.print(`${system.upstreams.size} upstreams, platform, operator and timeline are up`);
try {
  await runDemo(system);
} catch (error) {
  reporter.check('the demo runs to its end', false, String(error));
} finally {
  await system.stop();
}
reporter.print(reporter.allHeld() ? 'every promise held' : 'a promise was broken');
process.exit(reporter.allHeld() ? 0 : 1);
