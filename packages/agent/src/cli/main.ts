/** The command line of plantaindrum-agent. */

import { readFileSync } from 'node:fs';
import {
  agentSettingsSchema,
  createLogger,
  createMetrics,
  exitCodes,
  readSettings,
  systemClock,
  systemRandom,
} from '@plantaindrum/common';
import type { AgentSettings, Logger, Result, SettingsFault } from '@plantaindrum/common';
import yargs from 'yargs';
import type { Agent } from '../core/agent.js';
import { startAgent } from '../core/agent.js';

const packageVersion = (): string => {
  const file = new URL('../../package.json', import.meta.url);
  return (JSON.parse(readFileSync(file, 'utf8')) as { version: string }).version;
};

const parseArgs = (argv: string[]) =>
  yargs(argv)
    .scriptName('plantaindrum-agent')
    .usage('$0 --settings FILE\n\nServes the upstream beside it to the entries of plantaindrum.')
    .option('settings', {
      type: 'string',
      demandOption: true,
      requiresArg: true,
      describe: 'Settings of this process, JSON with comments',
    })
    .strict()
    .version(packageVersion())
    .help()
    .fail((message, err) => {
      process.stderr.write(`${message || String(err)}\nSee plantaindrum-agent --help.\n`);
      process.exit(exitCodes.usage);
    })
    .parseAsync();

const loadSettings = (file: string): Result<AgentSettings, SettingsFault[]> => {
  try {
    return readSettings(file, agentSettingsSchema);
  } catch (err) {
    const found = err instanceof Error ? err.message : String(err);
    return { ok: false, err: [{ key: '(file)', found, expected: 'a readable file', line: 0 }] };
  }
};

const formatFault = (file: string, { line, key, found, expected }: SettingsFault): string =>
  `${file}:${line}: ${key}: found ${found}, expected: ${expected}\n`;

/** The first signal stops the agent gracefully, a second one exits immediately. */
const stopOnSignals = (agent: Agent, log: Logger): void => {
  let stopping = false;
  const onSignal = (signal: string): void => {
    if (stopping) process.exit(exitCodes.endedEarly);
    stopping = true;
    log.info(`${signal}: stopping`);
    void agent.stop().then(() => process.exit(exitCodes.ok));
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
};

/** Runs the agent with the given arguments. */
export const main = async (argv: string[]): Promise<void> => {
  const args = await parseArgs(argv);
  const settings = loadSettings(args.settings);
  if (!settings.ok) {
    settings.err.forEach((fault) => process.stderr.write(formatFault(args.settings, fault)));
    process.exit(exitCodes.invalid);
  }
  const log = createLogger(settings.value.node.name);
  try {
    const agent = await startAgent({
      settings: settings.value,
      clock: systemClock,
      random: systemRandom,
      metrics: createMetrics(),
      log,
    });
    stopOnSignals(agent, log);
    const { operators, link } = agent;
    process.stdout.write(`${JSON.stringify({ ready: true, operators, link })}\n`);
  } catch (err) {
    log.error(`failed to start: ${err instanceof Error ? err.message : String(err)}`);
    process.exit(exitCodes.unreachable);
  }
};
