import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { experimentNames, loadExperiment } from '../../experiments/table.js';

const args = await yargs(hideBin(process.argv))
  .scriptName('experiment')
  .command('$0 <name>', 'Runs one experiment', (command) =>
    command.positional('name', { type: 'string', choices: experimentNames, demandOption: true }),
  )
  .option('json', {
    type: 'boolean',
    default: false,
    describe: 'Print the figures as one JSON object on the last line',
  })
  .option('seed', { type: 'number', default: 1, describe: 'Seed of every random choice' })
  .option('quick', { type: 'boolean', default: false, describe: 'A shorter run' })
  .strict()
  .parse();

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const experiment = await loadExperiment(String(args.name));
if (experiment) {
  const figures = await experiment.run({ seed: args.seed, quick: args.quick, print });
  if (args.json) print(JSON.stringify(figures));
} else {
  process.stderr.write(`the experiment ${String(args.name)} is not part of this version\n`);
  process.exitCode = 1;
}
