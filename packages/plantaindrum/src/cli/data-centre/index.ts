import { exitCodes, systemClock } from '@plantaindrum/common';
import type { IntentKey } from '@plantaindrum/intent';
import type { Command } from '../command.js';
import type { OperatorArgs } from '../operator-client.js';
import { createOperatorClient, withOperatorOptions } from '../operator-client.js';
import type { SubmitArgs } from '../submit.js';
import { fetchIntent, submitChanges, withSubmitOptions } from '../submit.js';
import { waitUntilIdle } from './wait-until-idle.js';

interface DataCentreArgs extends OperatorArgs, SubmitArgs {
  action: string;
  name: string;
}

/** `plantaindrum data-centre stop|start NAME`; `stop` waits until no request is in flight. */
export const dataCentreCommand: Command<DataCentreArgs> = {
  command: 'data-centre <action> <name>',
  describe: 'Stop a data centre gracefully, or start it again',
  builder: (args) =>
    withSubmitOptions(
      withOperatorOptions(
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
    const client = createOperatorClient(args, io);
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
      return waitUntilIdle(client, { name: args.name, version }, io, systemClock);
    }
    return exitCodes.ok;
  },
};
