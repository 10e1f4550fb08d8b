import type { Argv } from 'yargs';
import type { CliIo } from './io.js';

/** One subcommand of the command line. */
export interface Command<T> {
  /** Name and arguments in yargs' notation. */
  command: string;
  describe: string;
  builder: (args: Argv) => Argv<T>;
  /** Runs the command; resolves with the exit code of the process. */
  run: (args: T, io: CliIo) => Promise<number>;
}
