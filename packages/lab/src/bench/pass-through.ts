/** A pass-through without decisions, on the runtime's HTTP library: `pass-through.js HOST PORT TO_HOST TO_PORT INSTANCE`. */

import { createServer, request } from 'node:http';
import { instanceHeaders } from '@plantaindrum/stand-ins';

const [host = '', port = '', toHost = '', toPort = '', instance = ''] = process.argv.slice(2);

const server = createServer((req, res) => {
  const { method, url: path } = req;
  const headers = { ...req.headers, ...instanceHeaders(instance) };
  const out = request({ host: toHost, port: Number(toPort), method, path, headers }, (answer) => {
    res.writeHead(answer.statusCode ?? 502, answer.headers);
    answer.pipe(res);
  });
  out.on('error', () => res.destroy());
  req.pipe(out);
});
server.listen(Number(port), host, () => {
  process.stdout.write(`${JSON.stringify({ port: server.address() })}\n`);
});
process.on('SIGTERM', () => process.exit(0));
