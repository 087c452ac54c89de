import { readFileSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

/** How the deploy file starts a gateway, without the program and its arguments. */
export interface DeployedCommand {
  /** Options of Node.js, such as its heap limit. */
  readonly nodeOptions: readonly string[];
}

const deployFile = fileURLToPath(new URL('../../../deploy/system.toml', import.meta.url));
const runLinePattern = /^run = "node ((?:-\S+ )*)\S+\.mjs \d+"$/m;

/** Reads the options from the `run` line of a deploy file; throws if its form is not known. */
export const parseDeployedCommand = (deployText: string): DeployedCommand => {
  const [, options] = runLinePattern.exec(deployText) ?? [];
  if (options === undefined) {
    throw new Error('the deploy file has no line `run = "node [OPTIONS] PROGRAM.mjs PORT"`');
  }
  return { nodeOptions: options.split(' ').filter((option) => option !== '') };
};

export const readDeployedCommand = (): DeployedCommand =>
  parseDeployedCommand(readFileSync(deployFile, 'utf8'));
