/**
 * Bundles the platform programs into one file, because loading hundreds of small files is slow, and writes a code cache
 * for each role, because compiling that file took a quarter of the processor time of a start.
 */
import { execFileSync } from 'node:child_process';
import { copyFileSync, readFileSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { build } from 'esbuild';

const TARGET = 'target';
const scriptPath = (name) => join(import.meta.dirname, 'bundle', name);

/** Runtime flags of each role, as the deployment starts it: a cache is accepted with the same flags only. */
const readRoles = () =>
  [
    ...readFileSync('deploy/system.toml', 'utf8').matchAll(
      /^run = "node (.*) target\/plantaindrum\.cjs (\w+)"$/gm,
    ),
  ].map(([, flags, role]) => ({ role, flags: flags.split(' ') }));

// A cache of an earlier bundle must not remain: the runtime compares only the length of the source.
rmSync(TARGET, { recursive: true, force: true });

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: `${TARGET}/programs.cjs`,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  minifySyntax: true,
  // Without this, the CBOR codec starts child processes to find its native addon, which is not needed.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  logLevel: 'warning',
});
copyFileSync(scriptPath('loader.cjs'), `${TARGET}/plantaindrum.cjs`);
readRoles().forEach(({ role, flags }) => {
  execFileSync(process.execPath, [...flags, scriptPath('write-code-cache.cjs'), TARGET, role]);
});
