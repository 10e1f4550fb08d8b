import { expect } from 'chai';
import type { Route } from '../src/index.js';
import { startEntry } from './support/entry.js';
import { startRawUpstream } from './support/raw-upstream.js';
import type { RawAnswer } from './support/raw-upstream.js';
import { streamRoute, unsafeRoute, wait } from './support/with-entry.js';

const OK = 'HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Receipt: r\r\n';
const SWITCH = 'HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n';
const EVENTS = `${OK}Content-Type: text/event-stream\r\n\r\n`;

const answers: Record<string, RawAnswer> = {
  nothing: { first: '', rest: '' },
  'a protocol switch': {
    first: SWITCH,
    rest: '',
  },
  'a protocol switch, then bytes': {
    first: SWITCH,
    rest: 'x',
  },
  'interim responses': { first: '', rest: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  'line breaks before the head': { first: '', rest: '\r\n' },
  'bytes that are no head': { first: '', rest: 'x' },
  'a reason phrase': { first: 'HTTP/1.1 200 ', rest: 'x' },
  'header fields': { first: OK, rest: 'X-A: b\r\n' },
  'a header field': { first: `${OK}X-A: `, rest: 'x' },
  'a body without a length': { first: `${OK}\r\n`, rest: 'x' },
  'a body with a length': { first: `${OK}Content-Length: 99999999999\r\n\r\n`, rest: 'x' },
  chunks: { first: `${OK}Transfer-Encoding: chunked\r\n\r\n`, rest: '4\r\nxxxx\r\n' },
  'the size of a chunk': { first: `${OK}Transfer-Encoding: chunked\r\n\r\n`, rest: '0' },
  'a chunk extension': { first: `${OK}Transfer-Encoding: chunked\r\n\r\n1;`, rest: 'x' },
  trailers: { first: `${OK}Transfer-Encoding: chunked\r\n\r\n0\r\n`, rest: 'X-A: b\r\n' },
  'an event': { first: `${EVENTS}id: 1\ndata: `, rest: 'x' },
  'bytes between events': { first: `${EVENTS}id: 1\ndata: 1\n\n`, rest: 'x' },
};

const routes: Record<string, Partial<Route>> = {
  safe: {},
  unsafe: unsafeRoute,
  stream: { ...streamRoute, resumable: false },
};

/** Requests at once. */
const REQUESTS = 4;
const TIMEOUT_MS = 600;
/** Time that an entry may take for its answer after the timeout, in ms. */
const SLACK_MS = 500;
/** An entry buffers 8 MiB of an answer; what the kernel holds comes on top. */
const MAX_BYTES = 16 * 1_048_576;

// Guards against requests that are never answered, upstreams that stay occupied and memory that grows, because an
// upstream sends bytes that are no answer until its caller closes.
describe('an upstream that sends without end', () => {
  Object.entries(answers).forEach(([what, answer]) => {
    it(what, async () => {
      const outcomes = await Promise.all(
        Object.values(routes).map(async (route) => {
          const upstream = await startRawUpstream(answer);
          const entry = await startEntry({
            upstreams: [upstream],
            route: { ...route, timeoutMs: TIMEOUT_MS, maxAttempts: 1 },
          });
          const responses = await Promise.all(Array.from({ length: REQUESTS }, () => entry.send()));
          for (let tries = 0; upstream.openConnections() > 0 && tries < 25; tries += 1) {
            await wait(20);
          }
          const [used] = entry.directory.all();
          const outcome = {
            inTime: responses.every(({ ms }) => ms < TIMEOUT_MS + SLACK_MS),
            isSuccess: responses.some(({ status, isComplete }) => status === 200 && isComplete),
            // Statuses that promise that nothing ran.
            isRefusal: responses.some(({ status }) => status === 503 || status === 429),
            inFlight: used?.inFlight(),
            connections: upstream.openConnections(),
            isBounded: upstream.sentBytes() < REQUESTS * MAX_BYTES,
          };
          await entry.close();
          return outcome;
        }),
      );
      const settled = { inTime: true, isSuccess: false, isRefusal: false, inFlight: 0 };
      const expected = { ...settled, connections: 0, isBounded: true };
      expect(outcomes).to.deep.equal(Object.values(routes).map(() => expected));
    });
  });
});
