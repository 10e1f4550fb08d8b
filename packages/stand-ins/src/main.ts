/**
 * Runs a stand-in as a process: prints one JSON line when it is ready, exits on SIGTERM or SIGINT.
 */
import yargs from 'yargs';
import { hideBin } from 'yargs/helpers';
import { createEngineGroupStandIn } from './engine/group-stand-in.js';
import { createLogStandIn } from './log/log-stand-in.js';
import { createServiceStandIn } from './service-stand-in.js';
import { createVmListStandIn } from './vm-list-stand-in.js';
import { createWeightStoreStandIn } from './weight-store-stand-in.js';

interface Closable {
  close(): Promise<void>;
}

const printReady = (addresses: Record<string, unknown>): void => {
  process.stdout.write(`${JSON.stringify({ ready: true, ...addresses })}\n`);
};

const closeOnExitSignal = (standIns: Closable[]): void => {
  const shutDown = async (): Promise<void> => {
    await Promise.all(standIns.map((standIn) => standIn.close()));
    process.exit(0);
  };
  process.once('SIGTERM', shutDown);
  process.once('SIGINT', shutDown);
};

await yargs(hideBin(process.argv))
  .scriptName('stand-ins')
  .command(
    'platform',
    'log, VM list and weight store',
    (args) =>
      args
        .option('port', { type: 'number', default: 0, describe: 'port of the log' })
        .option('appends-per-second', { type: 'number', default: 400 })
        .option('retention-ms', { type: 'number', default: Infinity })
        .option('retention-records', { type: 'number', default: Infinity })
        .option('lag-ms', {
          type: 'number',
          default: 1000,
          describe: 'delay until changes of the VM list are visible',
        })
        .option('expert-bytes', { type: 'number', default: 65_536 })
        .option('bytes-per-second', { type: 'number', default: 64_000_000 }),
    async (argv) => {
      const log = await createLogStandIn({
        port: argv.port,
        appendsPerSecond: argv.appendsPerSecond,
        retention: { ms: argv.retentionMs, records: argv.retentionRecords },
      });
      const vms = await createVmListStandIn({ lagMs: argv.lagMs });
      const weights = await createWeightStoreStandIn({
        expertBytes: argv.expertBytes,
        bytesPerSecond: argv.bytesPerSecond,
      });
      closeOnExitSignal([log, vms, weights]);
      printReady({ log: log.url, vms: vms.url, weights: weights.url });
    },
  )
  .command(
    'engines',
    'a group of engines that run every step together',
    (args) =>
      args
        .option('engines', { type: 'number', default: 1 })
        .option('ranks-per-engine', { type: 'number', default: 1 })
        .option('lock-step', { type: 'boolean', default: true })
        .option('formed', { type: 'boolean', default: true })
        .option('group', { type: 'string', default: 'group-1' })
        .option('model', { type: 'string', default: 'stand-in' })
        .option('layers', { type: 'number', default: 2 })
        .option('experts', { type: 'number', default: 64 })
        .option('seed', { type: 'number', default: 1 })
        .option('step-ms', { type: 'number', default: 5 })
        .option('checks-fence', { type: 'boolean', default: true })
        .option('weights-url', { type: 'string' })
        .option('max-running', { type: 'number', default: 16 })
        .option('cache-blocks', { type: 'number', default: 4096 })
        .option('event-lag-ms', { type: 'number', default: 200 })
        .option('event-drop-share', { type: 'number', default: 0.05 })
        .option('metrics-lag-ms', { type: 'number', default: 1000 }),
    async (argv) => {
      const group = await createEngineGroupStandIn(argv);
      closeOnExitSignal([group]);
      printReady({ engines: group.engines, control: group.control });
    },
  )
  .command(
    'service',
    'an HTTP service that counts its calls',
    (args) => args.option('service-time-ms', { type: 'number', default: 5 }),
    async (argv) => {
      const service = await createServiceStandIn({ serviceTimeMs: argv.serviceTimeMs });
      closeOnExitSignal([service]);
      printReady({ url: service.url, control: service.control });
    },
  )
  .demandCommand(1)
  .strict()
  .help()
  .parseAsync();
