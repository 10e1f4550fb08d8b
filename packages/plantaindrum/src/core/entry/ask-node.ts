/** Asks another node for its status, over a link that is there or one made for the question. */

import type { Clock, Random } from '@plantaindrum/common';
import type { CallOutcome, Link, LinkOptions, NodeStatus } from '@plantaindrum/link';
import { createLinkClient, defaultBackoff, NODE_STATUS } from '@plantaindrum/link';
import type { Vm } from '@plantaindrum/service-clients';
import { linkAddress } from './links.js';

/** What asking needs. */
export interface AskNodeOptions {
  shared: Omit<LinkOptions, 'onLink'>;
  /** The open link to a node, if there is one. */
  linkTo: (vm: Vm) => Link | undefined;
  clock: Clock;
  random: Random;
}

const ASK_MS = 2_000;

const isStatus = (value: unknown): value is NodeStatus => {
  const { inFlight, intent } = (value ?? {}) as Partial<NodeStatus>;
  return Number.isSafeInteger(inFlight) && Number.isSafeInteger(intent?.offset);
};

const statusOf = (called: CallOutcome): NodeStatus | undefined =>
  called.outcome === 'answered' && isStatus(called.value) ? called.value : undefined;

const ask = async (link: Link): Promise<NodeStatus | undefined> =>
  statusOf(await link.call(NODE_STATUS, {}, ASK_MS));

/** Creates the question to one node; undefined when it does not answer in time. */
export const createAskNode = (options: AskNodeOptions) => {
  const { shared, linkTo, clock, random } = options;

  const askOverNewLink = async (vm: Vm): Promise<NodeStatus | undefined> => {
    let settle = (_link: Link | undefined): void => {};
    const opened = new Promise<Link | undefined>((resolve) => {
      settle = resolve;
    });
    const cancel = clock.after(ASK_MS, () => settle(undefined));
    const client = createLinkClient({
      ...shared,
      connect: linkAddress(vm),
      backoff: defaultBackoff,
      random,
      onLink: (link) => {
        settle(link);
        return () => {};
      },
    });
    const link = await opened;
    cancel();
    const status = link && (await ask(link));
    await client.close();
    return status;
  };

  return (vm: Vm): Promise<NodeStatus | undefined> => {
    const link = linkTo(vm);
    return link ? ask(link) : askOverNewLink(vm);
  };
};
