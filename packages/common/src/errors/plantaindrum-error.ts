import { exitCodes } from './exit-codes.js';
import { commandErrors, fileErrors } from './operator-errors.js';
import type { CommandErrorEntry, ErrorData } from './types.js';

const catalogue = { ...fileErrors, ...commandErrors };

/** Names of the errors that abort a command or the start of a process. */
export type CommandErrorName = keyof typeof catalogue;

/** A user-facing error from the catalogue. It aborts a command, never a request. */
export class PlantaindrumError extends Error {
  readonly title: string;

  readonly hint: string;

  readonly exitCode: number;

  constructor(
    override readonly name: CommandErrorName,
    readonly data: ErrorData = {},
    options?: ErrorOptions,
  ) {
    const entry: CommandErrorEntry = catalogue[name];
    super(entry.message(data), options);
    this.title = entry.title;
    this.hint = entry.hint;
    this.exitCode = entry.exitCode;
  }
}

/** The lines that a command prints on standard error for an error. */
export const formatError = (err: unknown): string => {
  if (err instanceof PlantaindrumError) {
    return `[${err.name}] ${err.title}\n  ${err.message}\n  Hint: ${err.hint}`;
  }
  const text = err instanceof Error ? (err.stack ?? err.message) : String(err);
  return `[internal] Broken invariant\n  ${text}\n  Hint: Please report this.`;
};

/** The exit code that belongs to an error. */
export const exitCodeOf = (err: unknown): number =>
  err instanceof PlantaindrumError ? err.exitCode : exitCodes.internal;
