import { exitCodes } from '@plantaindrum/common';
import type { EntryStatus } from '../../core/status/entry-status.js';
import type { Command } from '../command.js';
import type { OperatorsArgs } from '../operators-client.js';
import { createOperatorsClient, withOperators } from '../operators-client.js';
import { formatStatus } from './format.js';

/** `plantaindrum status`. */
export const statusCommand: Command<OperatorsArgs & { json: boolean }> = {
  command: 'status',
  describe: 'Show nodes, upstreams, groups and classes, and whether targets are met',
  builder: (args) =>
    withOperators(args).option('json', {
      type: 'boolean',
      default: false,
      describe: 'Print one JSON document',
    }),
  run: async (args, io) => {
    const status = (await createOperatorsClient(args, io).get('/status')) as EntryStatus;
    io.out(args.json ? JSON.stringify(status) : formatStatus(status));
    const missed = status.classes.some(({ met }) => met === false);
    return missed ? exitCodes.targetMissed : exitCodes.ok;
  },
};
