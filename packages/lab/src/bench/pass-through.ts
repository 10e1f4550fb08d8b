/**
 * HTTP proxy that makes no decisions, as a baseline: `pass-through.js HOST PORT TO_HOST TO_PORT
 * INSTANCE`.
 */

import { createServer, request } from 'node:http';
import { instanceHeaders } from '@plantaindrum/stand-ins';

const [host = '', port = '', toHost = '', toPort = '', instance = ''] = process.argv.slice(2);

const server = createServer((req, res) => {
  const { method, url: path } = req;
  const headers = { ...req.headers, ...instanceHeaders(instance) };
  const upstreamRequest = request(
    { host: toHost, port: Number(toPort), method, path, headers },
    (response) => {
      res.writeHead(response.statusCode ?? 502, response.headers);
      response.pipe(res);
    },
  );
  upstreamRequest.on('error', () => res.destroy());
  req.pipe(upstreamRequest);
});
server.listen(Number(port), host, () => {
  process.stdout.write(`${JSON.stringify({ port: server.address() })}\n`);
});
process.on('SIGTERM', () => process.exit(0));
