/** Assembles an entry: HTTP servers, links, intent and routing. */

import { randomUUID } from 'node:crypto';
import type { EntrySettings } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import type { FrameHandler, NodeStatus } from '@plantaindrum/link';
import { createLinkServer, NODE_STATUS } from '@plantaindrum/link';
import { createRetryPolicy } from '@plantaindrum/requests';
import { defaultAttemptTimeouts } from '../attempts/run-attempt.js';
import { createTargetActivity } from '../attempts/target-activity.js';
import type { CallerServer } from '../callers/caller-server.js';
import { createCallerServer } from '../callers/caller-server.js';
import { createOperatorServer } from '../operators/operator-server.js';
import type { ServeOptions } from '../requests/serve-request.js';
import type { EntryRouter } from '../routing/entry-router.js';
import { createClassTargets } from '../status/class-targets.js';
import { createEntryStatus } from '../status/entry-status.js';
import type { EntryDeps } from './deps.js';
import { startEntryIntent } from './entry-intent.js';
import { createEntryUpstreams } from './entry-upstreams.js';
import { createLinkOptions } from './links.js';
import { createReportCollector } from './node-reports.js';
import { createNodeStatusFetcher } from './node-status-fetcher.js';
import { createReadiness } from './readiness.js';

/** A running entry and the addresses of its servers. */
export interface Entry {
  callers: string;
  operators: string;
  link: string;
  /** Resolves when the entry serves: its intent has been read and its initial links are open. */
  ready: Promise<void>;
  isReady(): boolean;
  /** Fails readiness, waits for every request to end, then closes. */
  drain(): Promise<void>;
  /** Closes at once; requests in flight are aborted. */
  close(): Promise<void>;
}

/** Time between failing readiness and refusing requests; see `ReadinessOptions`. */
const DRAIN_NOTICE_MS = 1_000;

const discardFrame: FrameHandler = () => {};

const createServeOptions = (
  instance: string,
  router: EntryRouter,
  deps: EntryDeps,
): ServeOptions => {
  const { clock, metrics } = deps;
  let lastAttemptNumber = 0;
  return {
    selectUpstream: router.selectUpstream,
    retries: createRetryPolicy({ clock }),
    nextId: () => {
      lastAttemptNumber += 1;
      return `${instance}:${lastAttemptNumber}`;
    },
    timeouts: defaultAttemptTimeouts,
    activity: createTargetActivity(clock),
    clock,
    metrics,
  };
};

/** Starts an entry; rejects when it cannot listen on one of its addresses. */
export const startEntry = async (settings: EntrySettings, deps: EntryDeps): Promise<Entry> => {
  const { clock, random, metrics, log } = deps;
  const { node, limits } = settings;
  const instance = randomUUID();
  const { intent, links: intentLinks, close: closeIntent } = startEntryIntent(settings, deps);

  let callerServer: CallerServer | undefined;
  const inFlight = (): number => callerServer?.inFlight() ?? 0;
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
  const entryUpstreams = createEntryUpstreams(links, intent, log);
  const { router, directory } = entryUpstreams;
  const linkServer = await createLinkServer({
    ...createLinkOptions(links),
    listen: settings.link,
    onLink: (link) => {
      intentLinks.onLink(link);
      return discardFrame;
    },
  });

  const readiness = createReadiness({
    dataCentre: node.dataCentre,
    intent,
    clock,
    log,
    noticeMs: DRAIN_NOTICE_MS,
  });
  const targets = createClassTargets(clock);

  callerServer = await createCallerServer({
    listen: settings.callers,
    limits,
    intent,
    newRequestRefusal: readiness.newRequestRefusal,
    serve: createServeOptions(instance, router, deps),
    targets,
    clock,
    metrics,
  });
  const runningCallerServer = callerServer;

  const fetchNodeStatus = createNodeStatusFetcher({
    shared: createLinkOptions(links),
    linkTo: entryUpstreams.linkTo,
    clock,
    random,
  });

  const operatorServer = await createOperatorServer({
    listen: settings.operators,
    limits,
    intent,
    unready: readiness.unready,
    clock,
    status: () =>
      createEntryStatus({
        node,
        instance,
        intent,
        directory,
        router,
        targets,
        metrics,
        inFlight,
        leaving: () => readiness.phase() === 'draining',
        unready: readiness.unready,
      }),
    reports: createReportCollector({
      local: { ...node, status: nodeStatus },
      vms: directory.vms,
      fetchNodeStatus,
    }),
    metrics,
  });

  const start = async (): Promise<void> => {
    await entryUpstreams.start();
    await intent.ready();
    await entryUpstreams.waitForInitialLinks();
    readiness.started();
  };

  const close = async (): Promise<void> => {
    await runningCallerServer.close();
    await operatorServer.close();
    await entryUpstreams.close();
    await linkServer.close();
    await closeIntent();
  };

  return {
    callers: runningCallerServer.url,
    operators: operatorServer.url,
    link: `${linkServer.address.host}:${linkServer.address.port}`,
    ready: start(),
    isReady: () => readiness.unready() === undefined,
    drain: async () => {
      readiness.drain();
      await sleep(clock, DRAIN_NOTICE_MS);
      await runningCallerServer.drain();
      await close();
    },
    close,
  };
};
