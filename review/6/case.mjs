/** One endless event stream of a model server: the entry that reads it answers nobody meanwhile. */

import { setTimeout as sleep } from 'node:timers/promises';
import { URL } from 'node:url';
import { hasTrouble, route, runCase, services } from '../lib-2/case.mjs';
import { startDeployment } from '../lib-2/deployment.mjs';
import { startLoad } from '../lib-2/load.mjs';

const ENTRIES = 4;
/** Model servers, of which the first half may spoil answers. */
const MODEL_SERVERS = 16;
/** Requests a second at one entry, a quarter of the sheet's 53 streams, 4.55 and 2.1 plain requests. */
const LOAD = [
  { route: 'gen', perSecond: 13.25, deadlineMs: 8_022 },
  { route: 'once', perSecond: 1.14, deadlineMs: 2_515 },
  { route: 'safe', perSecond: 0.53, deadlineMs: 2_511 },
];
/** The operators' limit on the plain routes, and the time after it at which an answer is missing, in ms. */
const PLAIN_TIMEOUT_MS = 1_500;
const SLACK_MS = 500;
/** Event streams without end: in chunks of one byte without a line's end, and of empty lines. */
const MODES = ['endless-event-chunks', 'endless-lines'];
const WINDOWS = 4;
const WINDOW_MS = 5_500;
const SECOND_ANSWER_MS = 3_000;
const PAUSE_MS = 9_000;

await runCase(new URL('./', import.meta.url), async ({ note, timeOf, onCleanUp }) => {
  const runs = new Map();
  const spoiled = new Set();
  const onServer = ({ event, id, instance }) => {
    if (event === 'run') runs.set(id, instance);
    if (event !== 'spoiled') return;
    spoiled.add(id);
    note(`server ${instance} begins an answer without end to ${id}`);
  };
  const plain = { timeout_ms: PLAIN_TIMEOUT_MS };
  const deployment = await startDeployment({
    entries: ENTRIES,
    servers: [
      {
        service: 'blockwriter',
        count: MODEL_SERVERS,
        workMs: 300,
        slots: 8,
        pauseMs: 80,
        events: 26,
      },
      { service: 'auctionbook', count: 3, workMs: 43, slots: 6, pauseMs: 0, events: 0 },
    ],
    routes: [
      route('gen', 'streaming', 'blockwriter', { priority: 0, stream_resume: false }),
      route('once', 'unsafe', 'auctionbook', plain),
      route('safe', 'safe', 'auctionbook', plain),
    ],
    services,
    onServer,
  });
  onCleanUp(deployment.close);
  const restart = async (entry, { code, signal }) => {
    const [why] = /FATAL ERROR: .*/.exec(entry.stderr) ?? [''];
    note(`process of ${entry.name} ended by itself: code ${code}, signal ${signal}. ${why}`);
    await sleep(1_000);
    deployment.startEntry(entry, restart);
  };
  deployment.entryList.forEach((entry) => deployment.startEntry(entry, restart));
  if (!(await deployment.waitUntilReady(15_000))) throw new Error('the entries are not ready');
  const load = startLoad(deployment, LOAD);
  onCleanUp(load.stop);
  await sleep(5_000);

  for (let window = 0; window < WINDOWS; window += 1) {
    const spoil = (at) => {
      const { child } = deployment.serverList[(2 * window + at) % (MODEL_SERVERS / 2)];
      if (hasTrouble) child.send({ mode: MODES[window % MODES.length], answers: 1 });
    };
    spoil(0);
    await sleep(SECOND_ANSWER_MS);
    spoil(1);
    await sleep(WINDOW_MS - SECOND_ANSWER_MS + PAUSE_MS);
  }
  load.stop();
  await sleep(9_000);

  const { calls } = load;
  const plainCalls = calls.filter(({ route: name }) => name !== 'gen');
  const late = plainCalls.filter(({ tookMs }) => tookMs > PLAIN_TIMEOUT_MS);
  const unanswered = late.filter(
    ({ end, tookMs }) => end !== 'answered' || tookMs > PLAIN_TIMEOUT_MS + SLACK_MS,
  );
  calls.forEach(({ id, at, entry, route: name, isKept, end, status, bytes, tookMs }) =>
    note(
      `sent ${id} at ${timeOf(at)} to ${entry} on ${name}, kept connection ${isKept}, run by ${runs.get(id) ?? 'none'}: ` +
        `${end}, status ${status ?? 'none'}, ${bytes} bytes, ${tookMs} ms`,
    ),
  );
  return {
    isBroken: unanswered.length * 2 > late.length,
    summary: [
      `${calls.length} requests sent, ${calls.filter(({ end }) => end === 'answered').length} answered`,
      `${spoiled.size} answers without end`,
      `${plainCalls.length} plain requests, unanswered at their timeout: ${late.length}`,
      `of these, without an answer half a second later: ${unanswered.length}`,
    ],
  };
});
