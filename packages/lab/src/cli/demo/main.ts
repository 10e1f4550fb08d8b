import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { runDemo } from './run.js';
import { formatSummary } from './summary.js';

const args = await yargs(hideBin(process.argv))
  .scriptName('demo')
  .usage('$0\n\nStarts a small site of each example deployment and sends it a mixed load.')
  .option('json', {
    type: 'boolean',
    default: false,
    describe: 'Print the summary as one JSON object on the last line',
  })
  .option('seconds', { type: 'number', default: 12, describe: 'How long calls are sent' })
  .option('seed', { type: 'number', default: 1, describe: 'Seed of the load' })
  .strict()
  .parse();

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const summary = await runDemo({ seconds: args.seconds, seed: args.seed, print });
print(formatSummary(summary));
if (args.json) print(JSON.stringify(summary));
process.exitCode = summary.held ? 0 : 1;
