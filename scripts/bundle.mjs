// Bundles the program of the deploy file into two files, which start faster than many and need no
// workspace links in node_modules. The first one registers the signal handlers and then loads the
// second one; it is small, as a signal ends a process that has no handler yet. With an argument,
// writes into that folder instead of target/.
import { resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const outdir = resolve(process.argv[2] ?? fileURLToPath(new URL('../target', import.meta.url)));
process.chdir(new URL('..', import.meta.url).pathname);

/** Resolves workspace packages to their sources, so that only the output folder is written. */
const workspaceSources = {
  name: 'workspace-sources',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^@zinniagrade\// }, ({ path }) => ({
      path: `${process.cwd()}/packages/${path.slice('@zinniagrade/'.length)}/src/index.ts`,
    }));
  },
};

/** Omits unused library code, because every start reads and compiles the whole bundle. */
const reducedLibraries = {
  name: 'reduced-libraries',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^undici$/ }, () => ({
      path: `${process.cwd()}/scripts/undici-parts.mjs`,
    }));
    // Replaces zod's translations by its English messages alone.
    onResolve({ filter: /^\.\.\/locales\/index\.js$/ }, ({ resolveDir }) => ({
      path: `${resolveDir}/../locales/en.js`,
    }));
  },
};

/** Path of the second file, relative to the first one. */
const mainFile = './gateway-main.mjs';

/** Leaves the second file out of the first one. */
const separateMainFile = {
  name: 'separate-main-file',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^\.\/run-gateway\.js$/ }, () => ({ path: mainFile, external: true }));
  },
};

const options = {
  outdir,
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  // A minified bundle is read faster at start. Function names are kept for readable stack traces.
  minify: true,
  keepNames: true,
};

await build({
  ...options,
  entryPoints: { 'gateway-main': 'platform/src/run-gateway.ts' },
  plugins: [workspaceSources, reducedLibraries],
  // Some dependencies are CommonJS and load Node's built-in modules with require.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
await build({
  ...options,
  entryPoints: { gateway: 'platform/src/main.ts' },
  plugins: [separateMainFile],
});
