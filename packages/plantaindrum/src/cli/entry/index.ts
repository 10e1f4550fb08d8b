import type { EntrySettings } from '@plantaindrum/common';
import {
  createLogger,
  createMetrics,
  entrySettingsSchema,
  exitCodeOf,
  exitCodes,
  formatError,
  formatFault,
  PlantaindrumError,
  readSettings,
  sleep,
  systemClock,
  systemRandom,
} from '@plantaindrum/common';
import type { Entry } from '../../core/entry/entry.js';
import { startEntry } from '../../core/entry/entry.js';
import type { Command } from '../command.js';
import type { CliIo } from '../io.js';
import { captureSignals } from './signals.js';

/**
 * Longest wait for readiness before the addresses are printed, so that operators can query an entry
 * that is slow to become ready.
 */
const READY_LINE_TIMEOUT_MS = 5_000;

const errorCode = (err: unknown): string => {
  const { code, message } = err as { code?: unknown; message?: unknown };
  return String(code ?? message ?? err);
};

/** Starts the entry; throws `listen-failed` when it cannot listen on an address of the file. */
const startEntryOrFail = async (
  file: string,
  ...args: Parameters<typeof startEntry>
): Promise<Entry> => {
  try {
    return await startEntry(...args);
  } catch (err) {
    const address = `an address of ${file}`;
    throw new PlantaindrumError(
      'listen-failed',
      { address, detail: errorCode(err) },
      { cause: err },
    );
  }
};

/** Serves until the first signal, then drains; a second signal stops the drain. */
const serve = async (file: string, settings: EntrySettings, io: CliIo): Promise<number> => {
  const nextSignal = captureSignals();
  const log = createLogger(settings.node.name);
  const metrics = createMetrics();
  const deps = { clock: systemClock, random: systemRandom, metrics, log };
  const entry = await startEntryOrFail(file, settings, deps);
  const signalled = nextSignal();
  await Promise.race([entry.ready, sleep(systemClock, READY_LINE_TIMEOUT_MS), signalled]);
  const { callers, operators, link } = entry;
  io.out(JSON.stringify({ ready: entry.isReady(), callers, operators, link }));
  log.info(`${await signalled}: draining requests in flight, a second signal exits at once`);
  const forced = nextSignal().then(() => exitCodes.endedEarly);
  const drained = entry.drain().then(() => exitCodes.ok);
  return Promise.race([drained, forced]);
};

/** `plantaindrum entry`: runs the entry process. */
export const entryCommand: Command<{ settings: string }> = {
  command: 'entry',
  describe: 'Serve callers: the process of an entry VM',
  builder: (args) =>
    args.option('settings', {
      type: 'string',
      demandOption: true,
      describe: 'Settings of this process, JSON with comments',
    }),
  run: async ({ settings: file }, io) => {
    const settings = readSettings(file, entrySettingsSchema);
    if (!settings.ok) {
      settings.err.forEach((fault) => io.err(formatFault(file, fault)));
      return exitCodes.invalid;
    }
    try {
      return process.exit(await serve(file, settings.value, io));
    } catch (err) {
      // Servers and timers that were started before the failure would keep the process alive.
      io.err(formatError(err));
      return process.exit(exitCodeOf(err));
    }
  },
};
