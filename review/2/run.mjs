// Stops an entry with SIGTERM while consumers use connections that they have kept open.

import console from 'node:console';
import { dirname, join } from 'node:path';
import { performance } from 'node:perf_hooks';
import process from 'node:process';
import { clearInterval, setInterval, setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';
import { startBalancer } from '../lib/balancer.mjs';
import { createConsumer } from '../lib/consumer.mjs';
import { putDesiredState, routeTo } from '../lib/operator.mjs';
import { openRecord } from '../lib/record.mjs';
import { startServer } from '../lib/server.mjs';
import { addressOf, sleep, startSite } from '../lib/site.mjs';
import { startStore } from '../lib/store.mjs';

const folder = dirname(fileURLToPath(import.meta.url));
const hasTrouble = process.env.TROUBLE !== '0';

const GRACE_MS = 8_000;
const STABILITY_WINDOW_MS = 3_000;
const EXCUSED_UNTIL_MS = 3_000;
/** Time that a signal may take to arrive; requests sent this long after the limit are judged. */
const SIGNAL_MARGIN_MS = 20;
const ROUNDS = 4;
const ROUND_MS = 14_000;
const CONSUMERS = 280;
const EVENTS = 50;
const EVENT_MS = 110;
const DEADLINE_MS = 8_022;
const IDLE = { minMs: 2_000, spreadMs: 7_000 };

const record = openRecord(join(folder, 'record.txt'));
const store = await startStore(addressOf(1));
const site = await startSite(store.address);
putDesiredState(store, 1, [routeTo('draft', 'blockwriter', 'streaming')]);

const runs = new Map();
const streamEvents = (req, res, receipt) => {
  res.writeHead(200, { ...receipt, 'Content-Type': 'text/event-stream' });
  let event = 0;
  const timer = setInterval(() => {
    event += 1;
    res.write(`id: ${event}\ndata: tok${event}\n\n`);
    if (event < EVENTS) return;
    clearInterval(timer);
    res.end();
    runs.get(receipt['X-Request-Id']).endedAt = performance.now();
  }, EVENT_MS);
  res.once('close', () => clearInterval(timer));
};
const servers = await Promise.all(
  Array.from({ length: 24 }, (_, at) =>
    startServer({
      ...{ store, host: addressOf(100 + at), service: 'blockwriter', zone: 'kent-hall', slots: 12 },
      run: streamEvents,
      onRun: ({ id, instance, at: time }) => {
        runs.set(id, { instance, at: time });
        record.write('run', { id, instance }, time);
      },
    }),
  ),
);

const machines = [1, 2].map((n) => ({
  ...{ name: `edge-kent-hall-${n}`, role: 'entry', zone: 'kent-hall', ip: addressOf(10 + n) },
  port: site.ports.frontend,
}));
site.setSeeds(machines.map(({ ip }) => ip));
const started = machines.map((machine) => site.start(machine));
await Promise.all(machines.map((machine) => site.waitUntilReady(machine)));
const balancer = startBalancer(site, machines);
await sleep(STABILITY_WINDOW_MS);

let isOver = false;
const results = [];
const consume = async (number) => {
  const consumer = createConsumer();
  let to = balancer.pick(number);
  await sleep(Math.random() * (EVENTS * EVENT_MS + IDLE.minMs + IDLE.spreadMs / 2));
  while (!isOver) {
    if (!consumer.hasConnection()) to = balancer.pick(number);
    const result = await consumer.send({
      ...{ to, path: '/draft/2f', deadlineMs: DEADLINE_MS },
      headers: { 'X-Model': 'm', 'X-Token-Count': '1460,300', 'X-Prefix-Hash': '5c1e07a2:800' },
    });
    results.push(result);
    const { id, sentAt, endedAt, how, status, isReused } = result;
    record.write('sent', { id, to: to.name, isReused }, sentAt);
    record.write('ended', { id, how, status }, endedAt);
    const idleUntil = performance.now() + IDLE.minMs + Math.random() * IDLE.spreadMs;
    while (!isOver && performance.now() < idleUntil) await sleep(10);
  }
  consumer.close();
};
const consumers = Array.from({ length: CONSUMERS }, (_, number) => consume(number));

const stops = [];
await sleep(12_000);
for (let round = 0; round < ROUNDS && hasTrouble; round += 1) {
  const at = round % machines.length;
  const { child, exited } = started[at];
  const stoppedAt = performance.now();
  child.kill('SIGTERM');
  record.write('sigterm', { machine: machines[at].name }, stoppedAt);
  stops.push({ machine: machines[at].name, stoppedAt });
  const timer = setTimeout(() => child.kill('SIGKILL'), GRACE_MS);
  await exited;
  record.write('exited', { machine: machines[at].name });
  if (performance.now() - stoppedAt < GRACE_MS) timer.unref();
  started[at] = site.start(machines[at]);
  await site.waitUntilReady(machines[at]);
  await sleep(Math.max(0, stoppedAt + ROUND_MS - performance.now()));
}
if (!hasTrouble) await sleep(20_000);
isOver = true;
balancer.close();
await Promise.all(consumers);

const isCut = ({ how, id }) => how !== 'answered' && runs.has(id);
const lost = results.filter((result) => {
  const stop = stops.find(
    ({ machine, stoppedAt }) =>
      machine === result.to &&
      result.sentAt > stoppedAt + EXCUSED_UNTIL_MS + SIGNAL_MARGIN_MS &&
      result.sentAt < stoppedAt + GRACE_MS + 1_000,
  );
  return stop !== undefined && isCut(result) && result.endedAt - result.sentAt < 0.95 * DEADLINE_MS;
});
const cutOtherwise = results.filter((result) => isCut(result) && !lost.includes(result)).length;
lost.forEach(({ id, to, sentAt, endedAt, how }) => {
  const { stoppedAt } = stops.findLast((stop) => stop.machine === to && stop.stoppedAt < sentAt);
  const fields = { id, to, how, sentAfterSigtermMs: Math.round(sentAt - stoppedAt) };
  record.write('lost', { ...fields, cutAfterSigtermMs: Math.round(endedAt - stoppedAt) }, endedAt);
});
const answered = results.filter(({ how, status }) => how === 'answered' && status === 200).length;
const summary = {
  requests: results.length,
  answered,
  lost: lost.length,
  excusedCuts: cutOtherwise,
};
record.write('summary', summary);
console.log(JSON.stringify(summary));
await site.close();
servers.forEach((server) => server.close());
store.close();
await record.close();
if (answered < 0.5 * results.length || (hasTrouble && stops.length < ROUNDS)) process.exit(2);
process.exit(lost.length > 0 ? 1 : 0);
