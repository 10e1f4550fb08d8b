import { exitCodes } from '@plantaindrum/common';
import type { NodeReport } from '../../core/entry/node-reports.js';
import type { EntryStatus } from '../../core/status/entry-status.js';
import type { Command } from '../command.js';
import type { OperatorsArgs } from '../operators-client.js';
import { createOperatorsClient, withOperators } from '../operators-client.js';
import type { AgentReport } from './format.js';
import { formatAgent, formatStatus } from './format.js';

const isEntry = (status: EntryStatus | AgentReport): status is EntryStatus =>
  status.node.role === 'entry';

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
    const client = createOperatorsClient(args, io);
    const status = (await client.get('/status')) as EntryStatus | AgentReport;
    if (!isEntry(status)) {
      io.out(args.json ? JSON.stringify(status) : formatAgent(status));
      return exitCodes.ok;
    }
    const nodes = (await client.get('/nodes')) as NodeReport[];
    io.out(args.json ? JSON.stringify({ ...status, nodes }) : formatStatus(status, nodes));
    const missed = status.classes.some(({ met }) => met === false);
    return missed ? exitCodes.targetMissed : exitCodes.ok;
  },
};
