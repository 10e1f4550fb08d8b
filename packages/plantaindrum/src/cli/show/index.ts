import { exitCodes } from '@plantaindrum/common';
import type { Command } from '../command.js';
import type { OperatorArgs } from '../operator-client.js';
import { createOperatorClient, withOperatorOptions } from '../operator-client.js';
import { fetchIntent } from '../submit.js';

/** `plantaindrum show`: prints the intent in force at a node. */
export const showCommand: Command<OperatorArgs> = {
  command: 'show',
  describe: "Print the operators' intent in force at a node, with its version",
  builder: withOperatorOptions,
  run: async (args, io) => {
    const { offset, document } = await fetchIntent(createOperatorClient(args, io));
    io.out(`// version ${offset}`);
    io.out(JSON.stringify(document, null, 2));
    return exitCodes.ok;
  },
};
