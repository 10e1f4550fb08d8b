import {
  agentSettingsSchema,
  createMetrics,
  silentLogger,
  systemClock,
} from '@plantaindrum/common';
import type { AgentOptions } from '../../src/index.js';
import { startAgent } from '../../src/index.js';

/** Returns settings of an agent beside the upstream at `url`. */
export const settingsFor = (
  url: string,
  limits: Record<string, number> = {},
  logUrl = 'http://127.0.0.1:9/',
) =>
  agentSettingsSchema.parse({
    node: { name: 'kent-m1', dataCentre: 'kent', region: 'nw' },
    link: { port: 0 },
    operators: { port: 0, token: 'operators-token' },
    upstream: { kind: 'model', url },
    platform: { logUrl, vmListUrl: 'http://127.0.0.1:9/vms' },
    limits,
  });

/** Starts an agent in this process. */
export const startTestAgent = async (
  url: string,
  limits: Record<string, number> = {},
  overrides: Partial<AgentOptions> = {},
  logUrl?: string,
) => {
  const metrics = createMetrics();
  const agent = await startAgent({
    settings: settingsFor(url, limits, logUrl),
    clock: systemClock,
    random: () => 0,
    metrics,
    log: silentLogger,
    ...overrides,
  });
  return { ...agent, metrics };
};
