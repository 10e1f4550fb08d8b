/** Answers of a faulty server: bytes that are no answer, which come until the caller closes the connection. */

import { Buffer } from 'node:buffer';
import { clearInterval, setInterval } from 'node:timers';

/** Link of a machine beside a model server, in bytes per millisecond: 14 Mbit/s. */
const BYTES_PER_MS = 1_750;
const WRITE_INTERVAL_MS = 10;

/** Writes a pattern again and again, as fast as the link and the caller allow, until the caller closes the connection. */
const writeEndlessly = (socket, pattern) => {
  let last = Date.now();
  let rest = 0;
  const timer = setInterval(() => {
    const now = Date.now();
    rest = Math.min(rest + (now - last) * BYTES_PER_MS, BYTES_PER_MS * WRITE_INTERVAL_MS * 2);
    last = now;
    const times = Math.floor(rest / pattern.length);
    if (times === 0 || socket.writableLength > 0) return;
    rest -= times * pattern.length;
    socket.write(Buffer.from(pattern.repeat(times)));
  }, WRITE_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
};

const headOf = (stamp, fields) =>
  ['HTTP/1.1 200 OK', ...stamp, ...fields, 'Connection: close', '', ''].join('\r\n');

const CHUNKED = 'Transfer-Encoding: chunked';
const TINY_CHUNK = '1\r\nx\r\n';

/** Each starts an answer on a connection. */
export const faults = {
  /** A body without end, in chunks of one byte. */
  'endless-tiny-chunks': (socket, { stamp }) => {
    socket.write(headOf(stamp, ['Content-Type: text/plain', CHUNKED]));
    writeEndlessly(socket, TINY_CHUNK);
  },
  /** A body without end, in one piece. */
  'endless-body': (socket, { stamp }) => {
    socket.write(headOf(stamp, ['Content-Type: text/plain']));
    writeEndlessly(socket, 'x');
  },
  /** An event stream without end that consists of chunks of one byte, without an end of a line. */
  'endless-event-chunks': (socket, { stamp }) => {
    socket.write(headOf(stamp, ['Content-Type: text/event-stream', CHUNKED]));
    writeEndlessly(socket, TINY_CHUNK);
  },
  /** An event stream without end that consists of line ends. */
  'endless-lines': (socket, { stamp }) => {
    socket.write(headOf(stamp, ['Content-Type: text/event-stream']));
    writeEndlessly(socket, '\n');
  },
};
