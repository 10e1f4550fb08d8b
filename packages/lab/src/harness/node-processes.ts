import type { Child, ChildSpec } from './child.js';
import { createOperatorClient, OPERATOR_TOKEN } from './operators.js';
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

/** Starts a child process that is killed when the site is closed. */
export type StartChild = <Ready>(spec: ChildSpec) => Promise<Child<Ready>>;

/** Starts the entries and agents of one site. */
export interface NodeProcesses {
  startEntry(entry: EntrySpec): Promise<SiteEntry>;
  startAgent(plan: UpstreamPlan): Promise<SiteUpstream>;
  /** Starts the agent of an upstream again, as a new process on new ports. */
  restartAgent(upstream: SiteUpstream): Promise<void>;
}

const ENTRY_SCRIPT = 'packages/plantaindrum/bin/plantaindrum.js';
const AGENT_SCRIPT = 'packages/agent/bin/plantaindrum-agent.js';
const ANY_PORT = { host: '127.0.0.1', port: 0 };
const OPERATOR_SERVER = { ...ANY_PORT, token: OPERATOR_TOKEN };

/** Creates the `NodeProcesses` of a site. */
export const createNodeProcesses = (
  spec: SiteSpec,
  platform: PlatformReady,
  folder: SettingsFolder,
  start: StartChild,
): NodeProcesses => {
  const buildSettings = (name: string, dataCentre: string) => ({
    node: { name, dataCentre, region: spec.region },
    link: ANY_PORT,
    operators: OPERATOR_SERVER,
    platform: {
      logUrl: platform.log,
      vmListUrl: platform.vms,
      weightsUrl: platform.weights,
    },
  });

  const startAgentProcess = async (upstream: Pick<SiteUpstream, 'name' | 'settings'>) => {
    const { name, settings } = upstream;
    const args = ['--settings', folder.write(name, settings)];
    const agent = await start<AgentReady>({ name, script: AGENT_SCRIPT, args });
    const { link, operators } = agent.ready;
    const listed = spec.listedLink ? await spec.listedLink(name, link) : link;
    return { agent, listed, operators: createOperatorClient(operators) };
  };

  return {
    startAgent: async (plan) => {
      const settings = {
        ...buildSettings(plan.name, plan.dataCentre),
        upstream: plan.upstream,
        limits: spec.agentLimits ?? {},
      };
      const started = await startAgentProcess({ name: plan.name, settings });
      return { ...plan, settings, state: 'live', ...started };
    },
    restartAgent: async (upstream) => {
      Object.assign(upstream, await startAgentProcess(upstream));
    },
    startEntry: async (entry) => {
      const settings = {
        ...buildSettings(entry.name, entry.dataCentre),
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
        operators: createOperatorClient(operators),
      };
    },
  };
};
