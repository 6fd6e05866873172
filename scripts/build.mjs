/**
 * Bundles the programs into dist/, and tests, benchmarks and scripts into dist/run/. With the
 * argument `target`, bundles only the program that runs on the users' platform, into target/.
 */
import { readdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { build } from 'esbuild';

const isPlatformBuild = process.argv[2] === 'target';
const outdir = isPlatformBuild ? 'target' : 'dist';
const programs = {
  turmericrackd: 'src/daemon/main.ts',
  turmericrack: 'src/cli/main.ts',
  platform: 'platform/main.ts',
  fakeEndpoint: 'test/fakes/main.ts',
};

rmSync(outdir, { recursive: true, force: true });
await build({
  entryPoints: isPlatformBuild ? { platform: 'platform/main.ts' } : programs,
  outdir,
  outExtension: { '.js': '.mjs' },
  bundle: true,
  splitting: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  format: 'esm',
  target: 'node20',
  external: ['unix-dgram'],
  // Some libraries are CommonJS modules, which call `require` at run time.
  banner: {
    js: "import { createRequire as createRequire_ } from 'node:module'; const require = createRequire_(import.meta.url); import { fileURLToPath as fileURLToPath_ } from 'node:url'; import { dirname as dirname_ } from 'node:path'; const __filename = fileURLToPath_(import.meta.url); const __dirname = dirname_(__filename);",
  },
  logLevel: 'warning',
});

function listTypeScriptFiles(folder) {
  const files = readdirSync(folder, { recursive: true }).map((name) => join(folder, name));
  return files.filter((file) => file.endsWith('.ts') && !file.endsWith('.d.ts'));
}

// Tests run as plain JavaScript, since the thread of a TypeScript loader can keep a test process
// from exiting.
if (!isPlatformBuild) {
  await build({
    entryPoints: [
      ...listTypeScriptFiles('test'),
      ...listTypeScriptFiles('bench'),
      ...listTypeScriptFiles('scripts'),
    ],
    outdir: 'dist/run',
    outbase: '.',
    outExtension: { '.js': '.mjs' },
    bundle: true,
    splitting: true,
    packages: 'external',
    sourcemap: 'inline',
    platform: 'node',
    format: 'esm',
    target: 'node20',
    logLevel: 'warning',
  });
}
