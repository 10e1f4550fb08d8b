import { setImmediate as settle } from 'node:timers/promises';
import { createManualClock, exitCodes } from '@plantaindrum/common';
import { expect } from 'chai';
import { waitUntilIdle } from '../src/cli/data-centre/wait-until-idle.js';
import type { NodeReport } from '../src/core/entry/node-reports.js';

const VERSION = 7;
const POLL_MS = 500;
const MAX_POLLS = 20;

const runWith = async (readings: NodeReport[][]) => {
  const clock = createManualClock();
  const lines: string[] = [];
  let reading = 0;
  const client = {
    get: async () => {
      const nodes = readings[Math.min(reading, readings.length - 1)];
      reading += 1;
      return nodes;
    },
  };
  const io = { out: (line: string) => lines.push(line) };
  const done = waitUntilIdle(client, { name: 'kent', version: VERSION }, io, clock);
  for (let poll = 0; poll < MAX_POLLS; poll += 1) {
    await settle();
    await clock.advance(POLL_MS);
  }
  return { lines, code: await done };
};

const entry = (inFlight: number): NodeReport => ({
  node: 'kent-e1',
  role: 'entry',
  dataCentre: 'kent',
  inFlight,
  intentOffset: VERSION,
});

describe('waiting for a data centre to stop', () => {
  it('prints requests in flight whenever they change, and ends when there are none', async () => {
    const ended = await runWith([[entry(2)], [entry(2)], [entry(1)], [entry(0)]]);
    expect(ended).toMatchSnapshot();
  });

  // An agent of the data centre is frozen with a request in flight and doesn't answer. The operator
  // must not be told that nothing is in flight, because machines are powered off after that
  // message.
  it('does not report the data centre as idle while a node does not answer', async () => {
    const silent: NodeReport = { node: 'kent-u1', role: 'agent', dataCentre: 'kent' };
    const ended = await runWith([[entry(0), silent]]);
    expect(ended).toMatchSnapshot();
    expect(ended.code).to.equal(exitCodes.unreachable);
  });
});
