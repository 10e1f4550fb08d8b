/** An entry process: doors, links, intent and the requests that run between them. */

import { randomUUID } from 'node:crypto';
import type { Clock, EntrySettings, Logger, Metrics, Random } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import { createIntentReader, joinIntentToLinks, startCheckpointer } from '@plantaindrum/intent';
import type { FrameHandler, LinkServer, NodeStatus } from '@plantaindrum/link';
import { createLinkServer, NODE_STATUS } from '@plantaindrum/link';
import { createLogClient, createVmListClient } from '@plantaindrum/platform';
import { createRetryPolicy } from '@plantaindrum/requests';
import { defaultAttemptTimes } from '../attempts/run-attempt.js';
import type { CallersDoor } from '../callers/door.js';
import { openCallersDoor } from '../callers/door.js';
import type { OperatorsDoor } from '../operators/door.js';
import { openOperatorsDoor } from '../operators/door.js';
import { createEntryRouter } from '../routing/entry-router.js';
import { createClassTargets } from '../status/class-targets.js';
import { entryStatus } from '../status/entry-status.js';
import type { Directory } from '../upstreams/directory.js';
import { createDirectory } from '../upstreams/directory.js';
import { SILENCE_TICK_MS } from '../upstreams/upstream.js';
import { createAskNode } from './ask-node.js';
import { createCollectReports } from './node-reports.js';
import { createConnectAgent, linkOptions } from './links.js';
import { createReadiness } from './readiness.js';

/** What an entry needs from its process. */
export interface EntryDeps {
  clock: Clock;
  random: Random;
  metrics: Metrics;
  log: Logger;
}

/** A running entry. */
export interface Entry {
  callers: string;
  operators: string;
  link: string;
  /** Resolves when the entry serves: its intent is read and its first links are up. */
  ready: Promise<void>;
  isReady(): boolean;
  /** Fails readiness, lets every request end, then closes. */
  drain(): Promise<void>;
  /** Closes at once; what is in flight breaks off. */
  close(): Promise<void>;
}

const LIST_INTERVAL_MS = 1_000;
const NOTICE_MS = 1_000;
const FIRST_LINKS_MS = 2_000;
const LINK_CHECK_MS = 25;
const REVIEW_MS = 1_000;

const ignoreFrames: FrameHandler = () => {};

/** Waits until every live upstream of the list is linked; a dead one must not hold up the start. */
const firstLinks = async (directory: Directory, clock: Clock): Promise<void> => {
  const until = clock.monotonic() + FIRST_LINKS_MS;
  const missing = (): boolean =>
    directory.upstreams().some((upstream) => !upstream.link() && !upstream.leaving());
  while (missing() && clock.monotonic() < until) await sleep(clock, LINK_CHECK_MS);
};

/** Starts an entry; rejects when an address can't be listened on. */
export const startEntry = async (settings: EntrySettings, deps: EntryDeps): Promise<Entry> => {
  const { clock, random, metrics, log } = deps;
  const { node, limits, platform } = settings;
  const instance = randomUUID();

  const logClient = createLogClient({ url: platform.logUrl, client: node.name });
  const vmList = createVmListClient({ url: platform.vmListUrl, client: node.name });
  const intent = createIntentReader({
    log: logClient,
    clock,
    random,
    metrics,
    logger: log.child('intent'),
  });
  const intentLinks = joinIntentToLinks(intent);
  const checkpointer = startCheckpointer({
    node: intent,
    log: logClient,
    clock,
    random,
    metrics,
    retentionMs: platform.logRetentionMs,
  });

  let callers: CallersDoor | undefined;
  const inFlight = (): number => callers?.inFlight() ?? 0;
  const nodeStatus = (): NodeStatus => ({
    inFlight: inFlight(),
    intent: { offset: intent.current().offset },
  });
  const links = {
    settings,
    instance,
    intent: intentLinks,
    handlers: { [NODE_STATUS]: async () => nodeStatus() },
    clock,
    random,
    metrics,
    log: log.child('link'),
  };
  const connect = createConnectAgent(links);
  let directory: Directory | undefined;
  const router = createEntryRouter({
    self: node,
    upstreams: () => directory?.upstreams() ?? [],
    document: () => intent.current().document,
    clock,
    random,
    metrics,
    log: log.child('routing'),
  });
  directory = createDirectory({
    list: vmList,
    connect,
    onList: router.takeList,
    eventsOf: router.eventsOf,
    clock,
    random,
    metrics,
    log: log.child('upstreams'),
    intervalMs: LIST_INTERVAL_MS,
  });
  const known = directory;
  intent.onChange(router.intentChanged);
  const linkServer: LinkServer = await createLinkServer({
    ...linkOptions(links),
    listen: settings.link,
    onLink: (link) => {
      intentLinks.onLink(link);
      return ignoreFrames;
    },
  });

  const readiness = createReadiness({
    dataCentre: node.dataCentre,
    intent,
    clock,
    log,
    noticeMs: NOTICE_MS,
  });
  const targets = createClassTargets(clock);

  let lastAttempt = 0;
  callers = await openCallersDoor({
    listen: settings.callers,
    limits,
    intent,
    closedFor: readiness.closedFor,
    serve: {
      choose: router.choose,
      retries: createRetryPolicy({ clock }),
      nextId: () => {
        lastAttempt += 1;
        return `${instance}:${lastAttempt}`;
      },
      times: defaultAttemptTimes,
      clock,
      metrics,
    },
    targets,
    clock,
    metrics,
  });
  const door = callers;

  const askNode = createAskNode({
    shared: linkOptions(links),
    linkTo: (vm) =>
      known
        .upstreams()
        .find((upstream) => upstream.vm().name === vm.name)
        ?.link(),
    clock,
    random,
  });

  const operators: OperatorsDoor = await openOperatorsDoor({
    listen: settings.operators,
    limits,
    intent,
    unready: readiness.unready,
    status: () =>
      entryStatus({
        node,
        instance,
        intent,
        directory: known,
        router,
        targets,
        metrics,
        inFlight,
        leaving: () => readiness.phase() === 'draining',
        unready: readiness.unready,
      }),
    reports: createCollectReports({
      self: { ...node, status: nodeStatus },
      vms: known.vms,
      askNode,
    }),
    metrics,
  });

  let stopped = false;
  const review = async (): Promise<void> => {
    while (!stopped) {
      await sleep(clock, REVIEW_MS);
      router.review();
    }
  };

  const watchSilence = async (): Promise<void> => {
    while (!stopped) {
      await sleep(clock, SILENCE_TICK_MS);
      known.upstreams().forEach((upstream) => upstream.tick());
    }
  };

  const start = async (): Promise<void> => {
    await known.refresh();
    void known.run();
    void review();
    void watchSilence();
    await intent.ready();
    await firstLinks(known, clock);
    readiness.started();
  };

  const close = async (): Promise<void> => {
    stopped = true;
    await door.close();
    await operators.close();
    await known.close();
    await linkServer.close();
    checkpointer.close();
    await intent.close();
    await logClient.close();
    await vmList.close();
  };

  return {
    callers: door.url,
    operators: operators.url,
    link: `${linkServer.address.host}:${linkServer.address.port}`,
    ready: start(),
    isReady: () => readiness.unready() === undefined,
    drain: async () => {
      readiness.drain();
      await sleep(clock, NOTICE_MS);
      await door.drain();
      await close();
    },
    close,
  };
};
