/** Links of this entry: to agents, and from peers that call it. */

import type { Clock, EntrySettings, Logger, Metrics, Random } from '@plantaindrum/common';
import type { IntentLinks } from '@plantaindrum/intent';
import type { CallHandler, FrameHandler, Link, LinkOptions } from '@plantaindrum/link';
import { createLinkClient, defaultBackoff, defaultLinkLimits } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';
import type { ConnectAgent } from '../upstreams/directory.js';

/** Options of the links of an entry. */
export interface EntryLinksOptions {
  settings: EntrySettings;
  instance: string;
  intent: IntentLinks;
  handlers: Record<string, CallHandler>;
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
}

/** Creates the options that all links of this entry share. */
export const createLinkOptions = (options: EntryLinksOptions): Omit<LinkOptions, 'onLink'> => {
  const { settings, instance, intent, handlers, clock, metrics, log } = options;
  const { name, dataCentre, region } = settings.node;
  const { frameBytes, connections } = settings.limits;
  return {
    identity: { role: 'entry', node: name, instance, dataCentre, region },
    intentOffset: intent.intentOffset,
    onPeerOffset: intent.onPeerOffset,
    limits: { ...defaultLinkLimits, frameBytes, connections },
    handlers: { ...intent.handlers, ...handlers },
    clock,
    metrics,
    log,
  };
};

/** Parses the link address of a VM. */
export const parseLinkAddress = ({ address }: Vm): { host: string; port: number } => {
  const separator = address.lastIndexOf(':');
  return { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) };
};

/** Creates the function that connects to agents at the addresses of the VM list. */
export const createConnectAgent = (options: EntryLinksOptions): ConnectAgent => {
  const shared = createLinkOptions(options);
  return (vm, onLink: (link: Link) => FrameHandler) =>
    createLinkClient({
      ...shared,
      connect: parseLinkAddress(vm),
      backoff: defaultBackoff,
      random: options.random,
      onLink: (link) => {
        options.intent.onLink(link);
        return onLink(link);
      },
    });
};
