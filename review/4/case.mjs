/** One endless answer of a model server in chunks of one byte: the entry that reads it runs out of memory and ends. */

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
const WINDOWS = 4;
const WINDOW_MS = 5_500;
const SECOND_ANSWER_MS = 3_000;
const PAUSE_MS = 9_000;
const RESTART_MS = 1_000;
/** The rule allows this many. */
const ALLOWED = 3;

await runCase(new URL('./', import.meta.url), async ({ note, timeOf, onCleanUp }) => {
  const runs = new Map();
  const spoiled = new Set();
  const onServer = ({ event, id, instance }) => {
    if (event === 'run') runs.set(id, instance);
    if (event !== 'spoiled') return;
    spoiled.add(id);
    note(`server ${instance} begins an answer without end to ${id}`);
  };
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
      route('once', 'unsafe', 'auctionbook'),
      route('safe', 'safe', 'auctionbook'),
    ],
    services,
    onServer,
  });
  onCleanUp(deployment.close);
  const restart = async (entry, { code, signal }) => {
    const [why] = /FATAL ERROR: .*/.exec(entry.stderr) ?? [''];
    note(`process of ${entry.name} ended by itself: code ${code}, signal ${signal}. ${why}`);
    await sleep(RESTART_MS);
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
      if (hasTrouble) child.send({ mode: 'endless-tiny-chunks', answers: 1 });
    };
    spoil(0);
    await sleep(SECOND_ANSWER_MS);
    spoil(1);
    await sleep(WINDOW_MS - SECOND_ANSWER_MS + PAUSE_MS);
  }
  load.stop();
  await sleep(9_000);

  const { calls } = load;
  const isSound = ({ id }) => runs.has(id) && !spoiled.has(id);
  const closed = calls.filter((call) => call.end === 'closed' && call.isKept && isSound(call));
  const unanswered = closed.filter(({ status }) => status === undefined);
  calls.forEach(({ id, at, entry, route: name, isKept, end, status, bytes, tookMs }) =>
    note(
      `sent ${id} at ${timeOf(at)} to ${entry} on ${name}, kept connection ${isKept}, run by ${runs.get(id) ?? 'none'}: ` +
        `${end}, status ${status ?? 'none'}, ${bytes} bytes, ${tookMs} ms`,
    ),
  );
  const ends = deployment.entryList.flatMap((entry) => entry.ends).length;
  return {
    isBroken: unanswered.length > ALLOWED,
    summary: [
      `${calls.length} requests sent, ${calls.filter(({ end }) => end === 'answered').length} answered`,
      `${spoiled.size} answers without end; processes that ended by themselves: ${ends}`,
      `passed on to a sound server from a kept connection, which was closed without any answer: ${unanswered.length}`,
      `the same with answers that were broken off: ${closed.length}`,
    ],
  };
});
