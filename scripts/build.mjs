/**
 * Bundles the programs into dist/, and tests, benchmarks and scripts into dist/run/. With the
 * argument `target`, bundles only the program that runs on the users' platform, into target/.
 */
import { mkdirSync, mkdtempSync, readdirSync, renameSync, rmSync, statSync } from 'node:fs';
import { dirname, join, relative } from 'node:path';
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

/** Age from which no start of a program needs a chunk of an earlier build any more. */
const STALE_CHUNK_MS = 10 * 60_000;

const FRESH_FOLDER_PREFIX = '.build-';

// In the output folder, so that a rename moves files into place.
mkdirSync(outdir, { recursive: true });
const freshFolder = mkdtempSync(join(outdir, FRESH_FOLDER_PREFIX));
await build({
  entryPoints: isPlatformBuild ? { platform: 'platform/main.ts' } : programs,
  outdir: freshFolder,
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
    outdir: join(freshFolder, 'run'),
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

const builtFiles = listFiles(freshFolder);
installFiles();
rmSync(freshFolder, { recursive: true, force: true });
removeOldFiles();

/** Whether the name of a file has the hash of its contents. */
function isChunk(file) {
  return /-[A-Z0-9]{8}\.mjs$/.test(file);
}

/** Moves chunks into place first, so that a program that starts meanwhile finds its modules. */
function installFiles() {
  const chunks = builtFiles.filter((file) => isChunk(file));
  const entries = builtFiles.filter((file) => !isChunk(file));
  for (const file of [...chunks, ...entries]) {
    mkdirSync(dirname(join(outdir, file)), { recursive: true });
    renameSync(join(freshFolder, file), join(outdir, file));
  }
}

/**
 * Removes what earlier builds have left: chunks only once no program that starts needs them, and
 * files of a build that was ended only once none can be running any more.
 */
function removeOldFiles() {
  const staleBefore = Date.now() - STALE_CHUNK_MS;
  const built = new Set(builtFiles);
  for (const file of listFiles(outdir)) {
    if (built.has(file)) continue;
    const path = join(outdir, file);
    // Another build may remove the same file.
    const modifiedAt = statSync(path, { throwIfNoEntry: false })?.mtimeMs ?? 0;
    const mayBeNeeded = isChunk(file) || file.startsWith(FRESH_FOLDER_PREFIX);
    if (!mayBeNeeded || modifiedAt < staleBefore) rmSync(path, { force: true });
  }
}

/** Paths of all files in `folder`, relative to it. */
function listFiles(folder) {
  const entries = readdirSync(folder, { recursive: true, withFileTypes: true });
  const files = entries.filter((entry) => entry.isFile());
  return files.map((entry) => relative(folder, join(entry.parentPath, entry.name)));
}
