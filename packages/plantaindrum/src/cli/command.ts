import type { Argv } from 'yargs';
import type { CliIo } from './io.js';

/** One command: its options, and what it does; the result is the exit code. */
export interface Command<T> {
  /** Name and arguments in yargs' notation. */
  command: string;
  describe: string;
  builder: (args: Argv) => Argv<T>;
  run: (args: T, io: CliIo) => Promise<number>;
}
