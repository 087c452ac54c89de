// Bundles each program of the deploy file into one file, which starts faster and needs no
// workspace links in node_modules.
import { build } from 'esbuild';

process.chdir(new URL('..', import.meta.url).pathname);

/** Resolves workspace packages to their sources, so that only target/ is written. */
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

await build({
  entryPoints: { gateway: 'platform/src/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  plugins: [workspaceSources, reducedLibraries],
  // A minified bundle is read faster at start. Function names are kept for readable stack traces.
  minify: true,
  keepNames: true,
  // Some dependencies are CommonJS and load Node's built-in modules with require.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
