import type { IntentDocument } from '@plantaindrum/intent';
import type { Child } from './child.js';
import type { Operators } from './operators.js';
import type { EnginesReady, Flags, PlatformReady, ServiceReady } from './stand-ins.js';

/** An expert group: its engines run in one stand-in process, each with an agent beside it. */
export interface GroupSpec {
  name: string;
  model: string;
  dataCentre: string;
  engines: number;
  ranksPerEngine: number;
  flags?: Flags;
}

/** A plain service on some VMs, each a process with an agent beside it. */
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

/** What a site consists of. */
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
  /** Address under which the list names an agent; a forwarder may stand in between. */
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
  operators: Operators;
  /** Base address of the callers' door. */
  url: string;
}

/** An upstream with the agent beside it. */
export interface SiteUpstream {
  name: string;
  dataCentre: string;
  kind: 'model' | 'service';
  /** Address of the engine or service itself. */
  url: string;
  /** Control address of its stand-in. */
  control: string;
  labels: Record<string, string>;
  settings: Record<string, unknown>;
  state: 'live' | 'leaving';
  listed: string;
  agent: Child<AgentReady>;
  operators: Operators;
}

/** A running site; `close` ends every process that it started. */
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
  /** Puts the VM list as the site stands now. */
  publish(): Promise<void>;
  close(): Promise<void>;
}
