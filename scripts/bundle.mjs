/** Bundles the platform programs into one file, because loading hundreds of small files is slow. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/plantaindrum.cjs',
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
