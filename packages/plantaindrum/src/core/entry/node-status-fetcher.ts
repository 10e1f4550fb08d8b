/** Fetches the status of another node, over the open link or a temporary one. */

import type { Clock, Random } from '@plantaindrum/common';
import type { CallOutcome, Link, LinkOptions, NodeStatus } from '@plantaindrum/link';
import { createLinkClient, defaultBackoff, NODE_STATUS } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';
import { parseLinkAddress } from './links.js';

/** Options of the status fetcher. */
export interface NodeStatusFetcherOptions {
  shared: Omit<LinkOptions, 'onLink'>;
  /** The open link to a node, if there is one. */
  linkTo: (vm: Vm) => Link | undefined;
  clock: Clock;
  random: Random;
}

/** Limit for opening the link, and again for the call. */
const FETCH_TIMEOUT_MS = 2_000;

const isNodeStatus = (value: unknown): value is NodeStatus => {
  const { inFlight, intent } = (value ?? {}) as Partial<NodeStatus>;
  return Number.isSafeInteger(inFlight) && Number.isSafeInteger(intent?.offset);
};

const parseNodeStatus = (outcome: CallOutcome): NodeStatus | undefined =>
  outcome.outcome === 'answered' && isNodeStatus(outcome.value) ? outcome.value : undefined;

const fetchOverLink = async (link: Link): Promise<NodeStatus | undefined> =>
  parseNodeStatus(await link.call(NODE_STATUS, {}, FETCH_TIMEOUT_MS));

/** Creates a function that fetches the status of a node; undefined without an answer in time. */
export const createNodeStatusFetcher = (options: NodeStatusFetcherOptions) => {
  const { shared, linkTo, clock, random } = options;

  const fetchOverNewLink = async (vm: Vm): Promise<NodeStatus | undefined> => {
    let resolveOpened = (_link: Link | undefined): void => {};
    const opened = new Promise<Link | undefined>((resolve) => {
      resolveOpened = resolve;
    });
    const cancel = clock.after(FETCH_TIMEOUT_MS, () => resolveOpened(undefined));
    const client = createLinkClient({
      ...shared,
      connect: parseLinkAddress(vm),
      backoff: defaultBackoff,
      random,
      onLink: (link) => {
        resolveOpened(link);
        return () => {};
      },
    });
    const link = await opened;
    cancel();
    const status = link && (await fetchOverLink(link));
    await client.close();
    return status;
  };

  return (vm: Vm): Promise<NodeStatus | undefined> => {
    const link = linkTo(vm);
    return link ? fetchOverLink(link) : fetchOverNewLink(vm);
  };
};
