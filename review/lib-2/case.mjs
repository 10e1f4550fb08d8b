/** What the scripts of the cases share: the record, the exit status, and the routes of a small deployment. */

import { writeFileSync } from 'node:fs';
import console from 'node:console';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { URL } from 'node:url';
import { HOST } from './deployment.mjs';

/** Whether the disruption takes place; without it the rule has to hold. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Longest time of a script, in ms. */
const MAX_RUN_MS = 115_000;

/** A route of the desired state, with the figures of `sites/lotline-pnw.toml` unless others are given. */
export const route = (name, kind, service, figures = {}) => ({
  ...{ name, hostname: HOST, path_prefix: `/${name}/`, route_type: kind, service },
  ...{ priority: 1, max_attempts: 2, anonymous: false },
  ...(kind === 'streaming'
    ? { timeout_ms: 8_000, target_latency_ms: 401, gap_aim_ms: 120, stream_resume: true }
    : { timeout_ms: 2_500, target_latency_ms: 194 }),
  ...figures,
});

/** The services of the desired state. */
export const services = [
  { name: 'blockwriter', health_path: '/healthz', max_connections: 408 },
  { name: 'auctionbook', health_path: '/healthz', max_connections: 100 },
];

/**
 * Runs a case: `play` gets functions that add a line to the record, tell a time as in the record, and take what has to be
 * closed at the end; it returns whether the rule was broken, and the lines that sum it up. Ends the process with 1 if the
 * rule was broken, 0 if it held, 2 if the case couldn't run.
 */
export const runCase = async (folderUrl, play) => {
  const startedAt = Date.now();
  const lines = [];
  const timeOf = (at) => `${((at - startedAt) / 1_000).toFixed(3)} s`;
  const note = (text) => lines.push(`${timeOf(Date.now()).padStart(10)}  ${text}`);
  const cleanUps = [];
  const finish = async (status) => {
    note(`exit status ${status}`);
    writeFileSync(new URL('record.txt', folderUrl), `${lines.join('\n')}\n`);
    await Promise.all(cleanUps.map((cleanUp) => cleanUp()));
    process.exit(status);
  };
  const fail = (why) => {
    note(`the case could not run: ${why}`);
    console.log(`could not run: ${why}`);
    void finish(2);
  };
  ['SIGTERM', 'SIGINT'].forEach((signal) => process.on(signal, () => fail(signal)));
  process.on('uncaughtException', (err) => fail(err.stack));
  process.on('unhandledRejection', (err) => fail(err?.stack ?? err));
  setTimeout(() => fail('it took too long'), MAX_RUN_MS);
  note(hasTrouble ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  const { isBroken, summary } = await play({
    note,
    timeOf,
    onCleanUp: (each) => cleanUps.push(each),
  });
  summary.forEach((line) => {
    note(line);
    console.log(line);
  });
  console.log(isBroken ? 'the rule was broken' : 'the rule held');
  await finish(isBroken ? 1 : 0);
};
