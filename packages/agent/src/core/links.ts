/** Links of an agent: from entries, and with the other agents of its expert group. */

import type { AgentSettings, Clock, Logger, Metrics, Random } from '@plantaindrum/common';
import type { IntentLinks } from '@plantaindrum/intent';
import type {
  CallHandler,
  FrameHandler,
  Link,
  LinkClient,
  LinkLimits,
  LinkOptions,
  LinkServer,
  Load,
} from '@plantaindrum/link';
import {
  createLinkClient,
  createLinkServer,
  defaultBackoff,
  defaultLinkLimits,
} from '@plantaindrum/link';

/** Options of `createAgentLinks`. */
export interface AgentLinksOptions {
  settings: AgentSettings;
  instance: string;
  intent: IntentLinks;
  load: () => Load;
  /** Called with each link of an entry; returns the handler of its frames. */
  onEntry: (link: Link) => FrameHandler;
  limits?: Partial<LinkLimits>;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
}

/** The links of an agent. */
export interface AgentLinks {
  /** Adds handlers of methods that peers may call. */
  addHandlers(handlers: Record<string, CallHandler>): void;
  /** Sets the handler of links with other agents. */
  onAgentLink(fn: (link: Link) => void): void;
  /** Connects to another agent and reconnects when the link is lost. */
  connect(address: { host: string; port: number }): LinkClient;
  /** Starts to accept links; rejects if it can't listen on the address. */
  listen(): Promise<LinkServer>;
}

const ignoreFrames: FrameHandler = () => {};

/** Creates the links of an agent without opening any. */
export const createAgentLinks = (options: AgentLinksOptions): AgentLinks => {
  const { settings, instance, intent, clock, random, metrics, log } = options;
  const { name, dataCentre, region } = settings.node;
  const { frameBytes, connections } = settings.limits;
  const handlers: Record<string, CallHandler> = { ...intent.handlers };
  let handleAgentLink: (link: Link) => void = () => {};

  const onLink = (link: Link): FrameHandler => {
    intent.onLink(link);
    if (link.peer.role === 'entry') return options.onEntry(link);
    handleAgentLink(link);
    return ignoreFrames;
  };

  const linkOptions: LinkOptions = {
    identity: { role: 'agent', node: name, instance, dataCentre, region },
    intentOffset: intent.intentOffset,
    onPeerOffset: intent.onPeerOffset,
    load: options.load,
    limits: { ...defaultLinkLimits, ...options.limits, frameBytes, connections },
    handlers,
    onLink,
    clock,
    metrics,
    log,
  };

  return {
    addHandlers: (more) => {
      Object.assign(handlers, more);
    },
    onAgentLink: (fn) => {
      handleAgentLink = fn;
    },
    connect: (address) =>
      createLinkClient({ ...linkOptions, connect: address, backoff: defaultBackoff, random }),
    listen: () => createLinkServer({ ...linkOptions, listen: settings.link }),
  };
};
