import type { Clock } from '@plantaindrum/common';
import { exitCodes, sleep, systemClock } from '@plantaindrum/common';
import type { IntentKey } from '@plantaindrum/intent';
import type { NodeReport } from '../../core/entry/node-reports.js';
import type { Command } from '../command.js';
import type { CliIo } from '../io.js';
import type { OperatorsArgs, OperatorsClient } from '../operators-client.js';
import { createOperatorsClient, withOperators } from '../operators-client.js';
import type { SubmitArgs } from '../submit.js';
import { fetchIntent, submitChanges, withSubmission } from '../submit.js';

interface DataCentreArgs extends OperatorsArgs, SubmitArgs {
  action: string;
  name: string;
}

const POLL_MS = 500;
/** Readings in a row that must find nothing: a request may be between two nodes at one reading. */
const QUIET_READINGS = 3;

const describeNode = (
  { node, role, inFlight, intentOffset }: NodeReport,
  version: number,
): string => {
  if (inFlight === undefined) return `${node} (${role}) does not answer`;
  const heard = (intentOffset ?? -1) >= version ? '' : ', has not heard of the stop';
  return `${node} (${role}) ${inFlight}${heard}`;
};

/** A node that does not answer can't be waited for: it may be gone for good, and is shown. */
const isQuiet = ({ inFlight, intentOffset }: NodeReport, version: number): boolean =>
  inFlight === undefined || (inFlight === 0 && (intentOffset ?? -1) >= version);

const describeAll = (nodes: NodeReport[], version: number): string => {
  const shown = nodes.filter((node) => !isQuiet(node, version) || node.inFlight === undefined);
  if (shown.length === 0) return 'nothing in flight';
  return `in flight: ${shown.map((node) => describeNode(node, version)).join('; ')}`;
};

/** Prints what is in flight, on each change, until nothing is and every node knows of the stop. */
const waitUntilQuiet = async (
  client: OperatorsClient,
  { name, version }: { name: string; version: number },
  io: CliIo,
  clock: Clock,
): Promise<void> => {
  let printed = '';
  let quiet = 0;
  while (quiet < QUIET_READINGS) {
    const path = `/nodes?data-centre=${encodeURIComponent(name)}`;
    const nodes = (await client.get(path)) as NodeReport[];
    quiet = nodes.every((node) => isQuiet(node, version)) ? quiet + 1 : 0;
    const line = describeAll(nodes, version);
    if (line !== printed) io.out(line);
    printed = line;
    if (quiet < QUIET_READINGS) await sleep(clock, POLL_MS);
  }
  io.out(`${name} is stopped: nothing is in flight`);
};

/** `plantaindrum data-centre stop|start NAME`. */
export const dataCentreCommand: Command<DataCentreArgs> = {
  command: 'data-centre <action> <name>',
  describe: 'Stop a data centre gracefully, or start it again',
  builder: (args) =>
    withSubmission(
      withOperators(
        args
          .positional('action', {
            choices: ['stop', 'start'],
            demandOption: true,
            describe: 'stop: shows what is in flight and ends when nothing is',
          })
          .positional('name', { type: 'string', demandOption: true, describe: 'Data centre' }),
      ),
    ),
  run: async (args, io) => {
    const client = createOperatorsClient(args, io);
    const view = await fetchIntent(client);
    const state = args.action === 'stop' ? 'stopped' : 'serving';
    const current = view.document.dataCentres[args.name]?.state ?? 'serving';
    const key: IntentKey = `dataCentres/${args.name}`;
    let version = view.versions[key] ?? -1;
    if (current !== state) {
      const change = { key, base: version, value: { state } };
      version = await submitChanges(client, [change], args);
      io.out(`accepted at version ${version}: ${args.name} is ${state}`);
    }
    if (state === 'stopped') {
      await waitUntilQuiet(client, { name: args.name, version }, io, systemClock);
    }
    return exitCodes.ok;
  },
};
