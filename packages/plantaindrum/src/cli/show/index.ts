import { exitCodes } from '@plantaindrum/common';
import type { Command } from '../command.js';
import type { OperatorsArgs } from '../operators-client.js';
import { createOperatorsClient, withOperators } from '../operators-client.js';
import { fetchIntent } from '../submit.js';

/** `plantaindrum show`. */
export const showCommand: Command<OperatorsArgs> = {
  command: 'show',
  describe: "Print the operators' intent in force at a node, with its version",
  builder: withOperators,
  run: async (args, io) => {
    const { offset, document } = await fetchIntent(createOperatorsClient(args, io));
    io.out(`// version ${offset}`);
    io.out(JSON.stringify(document, null, 2));
    return exitCodes.ok;
  },
};
