/** Bundles the programs that run on the platform into one file: hundreds of small ones load slowly. */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/min.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  conditions: ['source'],
  minify: true, keepNames: false,
  // The codec's native part is looked for with the help of other processes; plain code will do.
  define: { 'process.env.CBOR_NATIVE_ACCELERATION_DISABLED': '"true"' },
  logLevel: 'warning',
});
