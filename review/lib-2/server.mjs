/**
 * A plain server of the users, on bare TCP, as a process of its own: one request a connection. Its settings come as JSON
 * in the first argument. It tells its parent which requests it ran. From it it takes `{ mode, answers }`, by which so many
 * of its next streams are spoiled as a key of `faults` in `faulty-answers.mjs` says, and `{ listen }` if it waits for that.
 */

import { createServer } from 'node:net';
import process from 'node:process';
import { setInterval, setTimeout } from 'node:timers';
import { faults } from './faulty-answers.mjs';

const settings = JSON.parse(process.argv[2]);
const { host, port, instance, workMs, pauseMs, events, slots, unframed = false } = settings;
let mode = settings.mode ?? 'sound';
/** Answers that are still to be spoiled. */
let spoiled = 0;
let running = 0;

const parseHead = (text) => {
  const [requestLine, ...fields] = text.split('\r\n');
  const [method, target] = requestLine.split(' ');
  const headers = new Map(
    fields.map((field) => {
      const colon = field.indexOf(':');
      return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
    }),
  );
  return { method, target, headers };
};

const tell = (message) => process.send?.({ instance, at: Date.now(), ...message });

const headOf = (status, fields) =>
  [`HTTP/1.1 ${status}`, ...fields, 'Connection: close', '', ''].join('\r\n');

const stampOf = (id) => [`X-Request-Id: ${id}`, `X-Server-Stamp: ${instance}.${id}`];

const answerPlain = (socket, id) => {
  const body = JSON.stringify({ id, text: 'x'.repeat(760) });
  const fields = [...stampOf(id), 'Content-Type: application/json'];
  fields.push(`Content-Length: ${body.length}`, `X-Server-Load: ${running},0,${slots}`);
  socket.end(`${headOf('200 OK', fields)}${body}`);
};

const answerStream = (socket, id, first) => {
  const fields = [...stampOf(id), 'Content-Type: text/event-stream'];
  if (!unframed) fields.push('Transfer-Encoding: chunked');
  socket.write(headOf('200 OK', fields));
  let event = first;
  const next = () => {
    if (socket.destroyed) return;
    const text = `id: ${event}\ndata: ${id} token ${event}\n\n`;
    socket.write(unframed ? text : `${text.length.toString(16)}\r\n${text}\r\n`);
    event += 1;
    if (event <= events) setTimeout(next, pauseMs);
    else socket.end(unframed ? '' : '0\r\n\r\n');
  };
  next();
};

const run = (socket, { target, headers }) => {
  const id = headers.get('x-request-id') ?? '';
  const isStream = target.startsWith('/gen/');
  running += 1;
  tell({ event: 'run', id });
  let isEnded = false;
  const end = () => {
    if (!isEnded) running -= 1;
    isEnded = true;
  };
  socket.once('close', end);
  setTimeout(() => {
    if (socket.destroyed) return;
    if (mode !== 'sound' && spoiled > 0 && isStream) {
      spoiled -= 1;
      tell({ event: 'spoiled', id });
      faults[mode](socket, { id, stamp: stampOf(id) });
    } else if (isStream) answerStream(socket, id, Number(headers.get('last-event-id') ?? 0) + 1);
    else answerPlain(socket, id);
  }, workMs);
};

const serve = (socket, request) => {
  const { target, headers } = request;
  const expected = headers.get('x-expect-instance');
  if (target === '/healthz') {
    socket.end(headOf('200 OK', [`X-Instance-Id: ${instance}`, 'Content-Length: 0']));
  } else if (expected !== undefined && expected !== instance) {
    socket.end(headOf('421 Misdirected Request', ['X-Not-Executed: 1', 'Content-Length: 0']));
  } else if (running >= slots * 2) {
    const load = `X-Server-Load: ${running},0,${slots}`;
    socket.end(headOf('503 Busy', ['X-Not-Executed: 1', load, 'Content-Length: 0']));
  } else run(socket, request);
};

const handleConnection = (socket) => {
  let text = '';
  socket.setNoDelay(true);
  socket.on('error', () => {});
  const read = (bytes) => {
    text += bytes.toString('latin1');
    const headEnd = text.indexOf('\r\n\r\n');
    if (headEnd < 0) return;
    const request = parseHead(text.slice(0, headEnd));
    const length = Number(request.headers.get('content-length') ?? 0);
    if (text.length < headEnd + 4 + length) return;
    socket.off('data', read);
    socket.resume();
    serve(socket, request);
  };
  socket.on('data', read);
};

const server = createServer(handleConnection);
const listen = () => server.listen(port, host, () => tell({ event: 'listening' }));
if (settings.isWaiting) tell({ event: 'waiting' });
else listen();
process.on('message', (message) => {
  if (message.listen) {
    listen();
    return;
  }
  mode = message.mode;
  spoiled = message.answers ?? Infinity;
});
process.on('disconnect', () => process.exit(0));
// Keeps the process running while it has no connection.
setInterval(() => {}, 1_000_000);
