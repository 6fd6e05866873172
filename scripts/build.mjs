/** Bundles the daemon, the command-line tool and the test endpoints into dist/. */
import { build } from 'esbuild';
import { rmSync } from 'node:fs';

rmSync('dist', { recursive: true, force: true });
await build({
  entryPoints: {
    turmericrackd: 'src/daemon/main.ts',
    turmericrack: 'src/cli/main.ts',
    fakeEndpoint: 'test/fakes/main.ts',
  },
  outdir: 'dist',
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  external: ['unix-dgram'],
  // Some libraries are CommonJS and call require at run time.
  banner: {
    js: "import { createRequire as createRequire_ } from 'node:module'; const require = createRequire_(import.meta.url); import { fileURLToPath as fileURLToPath_ } from 'node:url'; import { dirname as dirname_ } from 'node:path'; const __filename = fileURLToPath_(import.meta.url); const __dirname = dirname_(__filename);",
  },
  logLevel: 'warning',
});
