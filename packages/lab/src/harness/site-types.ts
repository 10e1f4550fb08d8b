import type { IntentDocument } from '@plantaindrum/intent';
import type { Child } from './child.js';
import type { OperatorClient } from './operators.js';
import type { EnginesReady, Flags, PlatformReady, ServiceReady } from './stand-ins.js';

/** An expert group: one stand-in process runs its engines, and each engine has an agent. */
export interface GroupSpec {
  name: string;
  model: string;
  dataCentre: string;
  engines: number;
  ranksPerEngine: number;
  flags?: Flags;
}

/** A plain service: each replica is a process with an agent. */
export interface ServiceSpec {
  name: string;
  dataCentre: string;
  replicas: number;
  flags?: Flags;
}

/** An entry to start. */
export interface EntrySpec {
  name: string;
  dataCentre: string;
}

/** The parts of a site and their settings. */
export interface SiteSpec {
  region: string;
  groups: GroupSpec[];
  services: ServiceSpec[];
  entries: EntrySpec[];
  intent: IntentDocument;
  platformFlags?: Flags;
  /** Limits in the settings of every agent. */
  agentLimits?: Record<string, number>;
  entryLimits?: Record<string, number>;
  /** Returns the link address of an agent for the VM list, such as that of a forwarder in front of it. */
  listedLink?: (upstream: string, link: string) => Promise<string>;
}

/** Ready line of an entry. */
export interface EntryReady {
  callers: string;
  operators: string;
  link: string;
}

/** Ready line of an agent. */
export interface AgentReady {
  operators: string;
  link: string;
}

/** A running entry. */
export interface SiteEntry extends EntrySpec {
  process: Child<EntryReady>;
  operators: OperatorClient;
  /** Base URL of the caller server. */
  url: string;
}

/** An upstream with its agent. */
export interface SiteUpstream {
  name: string;
  dataCentre: string;
  kind: 'model' | 'service';
  /** URL of the engine or service itself. */
  url: string;
  /** Control URL of its stand-in. */
  control: string;
  labels: Record<string, string>;
  settings: Record<string, unknown>;
  state: 'live' | 'leaving';
  /** Link address of the agent in the VM list. */
  listed: string;
  agent: Child<AgentReady>;
  operators: OperatorClient;
}

/** A running site; `close` kills every process that it started. */
export interface Site {
  readonly platform: Child<PlatformReady>;
  readonly entries: SiteEntry[];
  readonly upstreams: SiteUpstream[];
  readonly groups: { spec: GroupSpec; process: Child<EnginesReady> }[];
  readonly services: { spec: ServiceSpec; processes: Child<ServiceReady>[] }[];
  upstream(name: string): SiteUpstream;
  entry(index: number): SiteEntry;
  startEntry(spec: EntrySpec): Promise<SiteEntry>;
  /** Starts the agent of an upstream again, as a new process on a new port. */
  restartAgent(name: string): Promise<SiteUpstream>;
  /** Sets the VM list to the current upstreams and entries. */
  publish(): Promise<void>;
  close(): Promise<void>;
}
