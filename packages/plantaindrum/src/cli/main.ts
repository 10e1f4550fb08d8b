/** The command line of `plantaindrum`. */

import { readFileSync } from 'node:fs';
import yargs from 'yargs';
import { exitCodeOf, exitCodes, formatError, PlantaindrumError } from '@plantaindrum/common';
import { applyCommand } from './apply/index.js';
import { checkCommand } from './check/index.js';
import type { Command } from './command.js';
import { dataCentreCommand } from './data-centre/index.js';
import { entryCommand } from './entry/index.js';
import type { CliIo } from './io.js';
import { processIo } from './io.js';
import { showCommand } from './show/index.js';
import { statusCommand } from './status/index.js';

/** Line width of help texts, in characters. */
const HELP_WIDTH = 100;

const EPILOGUE = `Exit codes: ${Object.entries(exitCodes)
  .map(
    ([name, code]) => `${code} ${name.replace(/[A-Z]/g, (letter) => ` ${letter.toLowerCase()}`)}`,
  )
  .join(', ')}`;

const packageVersion = (): string => {
  const text = readFileSync(new URL('../../package.json', import.meta.url), 'utf8');
  return (JSON.parse(text) as { version: string }).version;
};

/** Parses and runs one command line; resolves with the exit code and never rejects. */
export const runCli = async (argv: string[], io: CliIo = processIo): Promise<number> => {
  let exitCode: number = exitCodes.ok;
  let parser = yargs()
    .scriptName('plantaindrum')
    .usage('$0 <command> [options]')
    .epilogue(EPILOGUE)
    .wrap(HELP_WIDTH)
    .version(packageVersion())
    .locale('en')
    .strict()
    .demandCommand(1, 'A command is missing')
    .exitProcess(false)
    .fail((message, err) => {
      throw err ?? new PlantaindrumError('usage', { detail: message });
    });

  const register = <T>({ command, describe, builder, run }: Command<T>): void => {
    parser = parser.command(command, describe, builder, async (args) => {
      exitCode = await run(args as T, io);
    });
  };
  register(entryCommand);
  register(checkCommand);
  register(applyCommand);
  register(showCommand);
  register(statusCommand);
  register(dataCentreCommand);

  try {
    await parser.parseAsync(argv, {}, (_err, _args, output) => {
      if (output) io.out(output);
    });
  } catch (err) {
    io.err(formatError(err));
    return exitCodeOf(err);
  }
  return exitCode;
};
