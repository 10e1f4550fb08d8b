/** `npm run soak -- --seed N --seeds M --seconds S --entries E --ranks R`: runs seeded soaks one after the other. */

import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { DEFAULT_SIZE } from './soak-site.js';
import { runSoak } from './soak.js';

const args = await yargs(hideBin(process.argv))
  .scriptName('soak')
  .option('seed', { type: 'number', default: 1, describe: 'Seed of the first soak' })
  .option('seeds', { type: 'number', default: 1, describe: 'Soaks, each with the next seed' })
  .option('seconds', {
    type: 'number',
    default: 20,
    describe: 'How long faults are injected in each',
  })
  .option('entries', { type: 'number', default: DEFAULT_SIZE.entries, describe: 'Entries' })
  .option('ranks', {
    type: 'number',
    default: DEFAULT_SIZE.ranks,
    describe: 'Ranks of the expert group, each with an agent process',
  })
  .strict()
  .parse();

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const size = { ...DEFAULT_SIZE, entries: args.entries, ranks: args.ranks };
let failedSeeds = 0;
for (let seed = args.seed; seed < args.seed + args.seeds; seed += 1) {
  const result = await runSoak({ seed, lengthMs: args.seconds * 1_000, size, print });
  const { calls, answered, faults, violations } = result;
  if (violations.length > 0) failedSeeds += 1;
  print(
    `seed ${seed}: ${calls} calls, ${answered} answered, ${faults} faults, ` +
      `${violations.length} guarantees violated`,
  );
}
print(`${args.seeds - failedSeeds} of ${args.seeds} seeds kept every guarantee`);
process.exitCode = failedSeeds > 0 ? 1 : 0;
