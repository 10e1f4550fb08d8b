import type { Child, ChildSpec } from './child.js';
import { createOperators, OPERATORS_TOKEN } from './operators.js';
import type { SettingsFolder } from './settings-folder.js';
import type {
  AgentReady,
  EntryReady,
  EntrySpec,
  SiteEntry,
  SiteSpec,
  SiteUpstream,
} from './site-types.js';
import type { PlatformReady } from './stand-ins.js';
import type { UpstreamPlan } from './upstream-plans.js';

/** Starts a child and remembers it, so that the site's end ends it. */
export type StartChild = <Ready>(spec: ChildSpec) => Promise<Child<Ready>>;

/** Starts entries and agents of one site. */
export interface NodeProcesses {
  startEntry(entry: EntrySpec): Promise<SiteEntry>;
  startAgent(plan: UpstreamPlan): Promise<SiteUpstream>;
  /** Starts the agent of an upstream as a new process on new ports. */
  restartAgent(upstream: SiteUpstream): Promise<void>;
}

const ENTRY_SCRIPT = 'packages/plantaindrum/bin/plantaindrum.js';
const AGENT_SCRIPT = 'packages/agent/bin/plantaindrum-agent.js';
const ANY_PORT = { host: '127.0.0.1', port: 0 };
const OPERATORS_DOOR = { ...ANY_PORT, token: OPERATORS_TOKEN };

/** Creates the starter of a site's entries and agents. */
export const createNodeProcesses = (
  spec: SiteSpec,
  platform: PlatformReady,
  folder: SettingsFolder,
  start: StartChild,
): NodeProcesses => {
  const settingsOf = (name: string, dataCentre: string) => ({
    node: { name, dataCentre, region: spec.region },
    link: ANY_PORT,
    operators: OPERATORS_DOOR,
    platform: {
      logUrl: platform.log,
      vmListUrl: platform.vms,
      weightsUrl: platform.weights,
    },
  });

  const startProcess = async (upstream: Pick<SiteUpstream, 'name' | 'settings'>) => {
    const { name, settings } = upstream;
    const args = ['--settings', folder.write(name, settings)];
    const agent = await start<AgentReady>({ name, script: AGENT_SCRIPT, args });
    const { link, operators } = agent.ready;
    const listed = spec.listedLink ? await spec.listedLink(name, link) : link;
    return { agent, listed, operators: createOperators(operators) };
  };

  return {
    startAgent: async (plan) => {
      const settings = {
        ...settingsOf(plan.name, plan.dataCentre),
        upstream: plan.upstream,
        limits: spec.agentLimits ?? {},
      };
      const started = await startProcess({ name: plan.name, settings });
      return { ...plan, settings, state: 'live', ...started };
    },
    restartAgent: async (upstream) => {
      Object.assign(upstream, await startProcess(upstream));
    },
    startEntry: async (entry) => {
      const settings = {
        ...settingsOf(entry.name, entry.dataCentre),
        callers: ANY_PORT,
        limits: spec.entryLimits ?? {},
      };
      const args = ['entry', '--settings', folder.write(entry.name, settings)];
      const child = await start<EntryReady>({ name: entry.name, script: ENTRY_SCRIPT, args });
      const { callers, operators } = child.ready;
      return {
        ...entry,
        process: child,
        url: callers,
        operators: createOperators(operators),
      };
    },
  };
};
