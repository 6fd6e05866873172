/** Makes a fresh clone ready to run: installs what is locked, when it is missing, and builds. */
import { execFileSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';
import process from 'node:process';

const installed = 'node_modules/.package-lock.json';
const isInstalled =
  existsSync(installed) && statSync(installed).mtimeMs >= statSync('package-lock.json').mtimeMs;
if (!isInstalled) execFileSync('npm', ['ci'], { stdio: 'inherit' });
execFileSync(process.execPath, ['scripts/build.mjs'], { stdio: 'inherit' });
