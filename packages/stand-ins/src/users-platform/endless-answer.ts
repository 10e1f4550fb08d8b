/** Answers of a server in trouble: bytes that are no answer, which come until the caller closes the connection. */

import type { Socket } from 'node:net';

/** An answer without end. */
export interface EndlessAnswer {
  /** What comes first, after the server's own header fields; undefined for bytes that begin without a head. */
  first: string | undefined;
  /** What comes after that, again and again. */
  repeated: string;
}

const CHUNKED = 'Transfer-Encoding: chunked\r\n\r\n';
const EVENTS = 'Content-Type: text/event-stream\r\n';

/** One answer for each way in which bytes may come without end. */
export const ENDLESS_ANSWERS: readonly EndlessAnswer[] = [
  { first: CHUNKED, repeated: '1\r\nx\r\n' },
  { first: EVENTS + CHUNKED, repeated: '1\r\nx\r\n' },
  { first: EVENTS + CHUNKED, repeated: '2\r\n\n\n\r\n' },
  { first: `${CHUNKED}1;`, repeated: 'x' },
  { first: `${CHUNKED}0\r\n`, repeated: 'X-A: b\r\n' },
  { first: `${EVENTS}\r\n`, repeated: '\n' },
  { first: `${EVENTS}\r\n`, repeated: ': a\n\n' },
  { first: `${EVENTS}\r\n`, repeated: 'a\n\n' },
  { first: `${EVENTS}\r\nid: 1\ndata: 1\n\n`, repeated: 'x' },
  { first: '\r\n', repeated: 'x' },
  { first: 'Content-Length: 99999999999\r\n\r\n', repeated: 'x' },
  { first: '', repeated: 'X-A: b\r\n' },
  { first: undefined, repeated: 'HTTP/1.1 103 Early Hints\r\n\r\n' },
  { first: undefined, repeated: '\r\n' },
];

/** The link of a machine beside a server has 14 Mbit/s. */
const BYTES_PER_MS = 1_750;
const WRITE_INTERVAL_MS = 10;

/** Sends an answer without end, as fast as its link allows, until the caller closes the connection. */
export const sendEndlessly = (
  socket: Socket,
  { first, repeated }: EndlessAnswer,
  fields: Readonly<Record<string, string>>,
): void => {
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`);
  if (first !== undefined) socket.write(`HTTP/1.1 200 OK\r\n${lines.join('')}${first}`);
  const repeats = Math.ceil((BYTES_PER_MS * WRITE_INTERVAL_MS) / repeated.length);
  const bytes = Buffer.from(repeated.repeat(repeats));
  const timer = setInterval(() => {
    if (socket.writableLength === 0) socket.write(bytes);
  }, WRITE_INTERVAL_MS);
  socket.once('close', () => clearInterval(timer));
};
