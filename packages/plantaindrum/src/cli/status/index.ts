import { exitCodes } from '@plantaindrum/common';
import type { NodeReport } from '../../core/entry/node-reports.js';
import type { EntryStatus } from '../../core/status/entry-status.js';
import type { Command } from '../command.js';
import type { OperatorArgs } from '../operator-client.js';
import { createOperatorClient, withOperatorOptions } from '../operator-client.js';
import type { AgentStatus } from './format.js';
import { formatAgentStatus, formatEntryStatus } from './format.js';

const isEntry = (status: EntryStatus | AgentStatus): status is EntryStatus =>
  status.node.role === 'entry';

/** `plantaindrum status`; its exit code says whether a class of an entry missed its target. */
export const statusCommand: Command<OperatorArgs & { json: boolean }> = {
  command: 'status',
  describe: 'Show nodes, upstreams, groups and classes, and whether targets are met',
  builder: (args) =>
    withOperatorOptions(args).option('json', {
      type: 'boolean',
      default: false,
      describe: 'Print one JSON document',
    }),
  run: async (args, io) => {
    const client = createOperatorClient(args, io);
    const status = (await client.get('/status')) as EntryStatus | AgentStatus;
    if (!isEntry(status)) {
      io.out(args.json ? JSON.stringify(status) : formatAgentStatus(status));
      return exitCodes.ok;
    }
    const nodes = (await client.get('/nodes')) as NodeReport[];
    io.out(args.json ? JSON.stringify({ ...status, nodes }) : formatEntryStatus(status, nodes));
    const missed = status.classes.some(({ met }) => met === false);
    return missed ? exitCodes.targetMissed : exitCodes.ok;
  },
};
