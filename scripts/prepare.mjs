/**
 * Prepares a clone for running: installs the locked dependencies if they are missing or outdated,
 * and builds.
 */
import { execFileSync } from 'node:child_process';
import { existsSync, statSync } from 'node:fs';
import process from 'node:process';

const installedLockfile = 'node_modules/.package-lock.json';
const isInstalled =
  existsSync(installedLockfile) &&
  statSync(installedLockfile).mtimeMs >= statSync('package-lock.json').mtimeMs;
if (!isInstalled) execFileSync('npm', ['ci'], { stdio: 'inherit' });
execFileSync(process.execPath, ['scripts/build.mjs'], { stdio: 'inherit' });
