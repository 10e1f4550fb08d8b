import type { Clock } from '@plantaindrum/common';
import { exitCodes, sleep, systemClock } from '@plantaindrum/common';
import type { IntentKey } from '@plantaindrum/intent';
import type { NodeInFlight } from '../../core/entry/in-flight.js';
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

const describeNode = ({ node, role, inFlight }: NodeInFlight): string =>
  `${node} (${role}) ${inFlight === undefined ? 'does not answer' : inFlight}`;

const describeAll = (nodes: NodeInFlight[]): string => {
  const busy = nodes.filter(({ inFlight }) => inFlight !== 0);
  return busy.length > 0 ? `in flight: ${busy.map(describeNode).join(', ')}` : 'nothing in flight';
};

/** Prints what is in flight, on each change, until nothing is. */
const waitUntilQuiet = async (
  client: OperatorsClient,
  name: string,
  io: CliIo,
  clock: Clock,
): Promise<void> => {
  let printed = '';
  let quiet = 0;
  while (quiet < QUIET_READINGS) {
    const path = `/in-flight?data-centre=${encodeURIComponent(name)}`;
    const nodes = (await client.get(path)) as NodeInFlight[];
    quiet = nodes.some(({ inFlight }) => (inFlight ?? 0) > 0) ? 0 : quiet + 1;
    const line = describeAll(nodes);
    if (line !== printed) io.out(line);
    printed = line;
    if (quiet < QUIET_READINGS) await sleep(clock, POLL_MS);
  }
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
    if (current !== state) {
      const key: IntentKey = `dataCentres/${args.name}`;
      const base = view.versions[key] ?? -1;
      const version = await submitChanges(client, [{ key, base, value: { state } }], args);
      io.out(`accepted at version ${version}: ${args.name} is ${state}`);
    }
    if (state === 'stopped') await waitUntilQuiet(client, args.name, io, systemClock);
    return exitCodes.ok;
  },
};
