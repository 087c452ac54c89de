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

await build({
  entryPoints: { gateway: 'platform/src/main.ts' },
  outdir: 'target',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  plugins: [workspaceSources],
  // Less to read at each start; names stay, so that stack traces can be read.
  minifyWhitespace: true,
  minifySyntax: true,
  // Some dependencies are CommonJS and load Node's own modules with require.
  banner: {
    js: "import { createRequire as createBundleRequire } from 'node:module'; const require = createBundleRequire(import.meta.url);",
  },
});
