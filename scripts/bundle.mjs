// Builds one file for each program of the deploy file: a bundle starts faster and needs no links.
import { build } from 'esbuild';

process.chdir(new URL('..', import.meta.url).pathname);

/** Takes the workspace's packages from their sources, so that nothing outside target/ is written. */
const workspaceSources = {
  name: 'workspace-sources',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^@zinniagrade\// }, ({ path }) => ({
      path: `${process.cwd()}/packages/${path.slice('@zinniagrade/'.length)}/src/index.ts`,
    }));
  },
};

/** Leaves out what no program uses of its libraries; each start reads and compiles the rest. */
const smallerLibraries = {
  name: 'smaller-libraries',
  setup: ({ onResolve }) => {
    onResolve({ filter: /^undici$/ }, () => ({
      path: `${process.cwd()}/scripts/undici-parts.mjs`,
    }));
    // Messages in other languages.
    onResolve({ filter: /^\.\.\/locales\/index\.js$/ }, ({ resolveDir }) => ({
      path: `${resolveDir}/../locales/en.js`,
    }));
  },
};

await build({
  entryPoints: { gateway: 'platform/src/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  plugins: [workspaceSources, smallerLibraries],
  // Less to read at each start; names of functions stay, so that stack traces can be read.
  minify: true,
  keepNames: true,
  // Some dependencies are CommonJS and load Node's own modules with require.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
