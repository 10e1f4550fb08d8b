import { exitCodes, formatFault, readSettings } from '@plantaindrum/common';
import { intentDocumentSchema } from '@plantaindrum/intent';
import { z } from 'zod';
import type { Command } from '../command.js';
import type { OperatorArgs } from '../operator-client.js';
import { createOperatorClient, withOperatorOptions } from '../operator-client.js';
import type { SubmitArgs } from '../submit.js';
import { fetchIntent, submitChanges, withSubmitOptions } from '../submit.js';
import { checkBaseVersion, computeChanges } from './changes.js';

interface ApplyArgs extends OperatorArgs, SubmitArgs {
  file: string;
  from?: number;
}

const readSectionNames = (file: string): string[] => {
  const read = readSettings(file, z.record(z.string(), z.unknown()));
  return read.ok ? Object.keys(read.value) : [];
};

/** `plantaindrum apply FILE`: submits the differences between a file and the intent in force. */
export const applyCommand: Command<ApplyArgs> = {
  command: 'apply <file>',
  describe: "Put an operators' intent file in force; waits until it is accepted",
  builder: (args) =>
    withSubmitOptions(
      withOperatorOptions(
        args
          .positional('file', {
            type: 'string',
            demandOption: true,
            describe: 'Intent as JSON with comments; sections that it leaves out stay as they are',
          })
          .option('from', {
            type: 'number',
            describe: 'Version that the file was made from: a key changed since is a conflict',
          }),
      ),
    ),
  run: async (args, io) => {
    const desired = readSettings(args.file, intentDocumentSchema);
    if (!desired.ok) {
      desired.err.forEach((fault) => io.err(formatFault(args.file, fault)));
      return exitCodes.invalid;
    }
    const client = createOperatorClient(args, io);
    const view = await fetchIntent(client);
    const changes = computeChanges(readSectionNames(args.file), desired.value, view);
    if (changes.length === 0) {
      io.out(`nothing to change at version ${view.offset}`);
      return exitCodes.ok;
    }
    if (args.from !== undefined) checkBaseVersion(changes, args.from);
    const version = await submitChanges(client, changes, args);
    io.out(`accepted at version ${version}: ${changes.map(({ key }) => key).join(', ')}`);
    return exitCodes.ok;
  },
};
