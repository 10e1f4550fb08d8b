import { expect } from 'chai';
import type { FakeUpstream, Handler } from './support/fake-upstream.js';
import { startFakeUpstream, streamEvents, validHeaders } from './support/fake-upstream.js';
import { startEntry } from './support/entry.js';
import { streamRoute, withEntry } from './support/with-entry.js';
import type { Entry } from './support/with-entry.js';

const HEALTH_PATH = '/health';

const unframed =
  (handler: Handler): Handler =>
  (req, res) => {
    res.useChunkedEncodingByDefault = false;
    handler(req, res);
  };

const unframedBody =
  (type: string, body: string): Handler =>
  (req, res) => {
    res.useChunkedEncodingByDefault = false;
    res.writeHead(200, { ...validHeaders(req), 'content-type': type, connection: 'close' });
    res.end(body);
  };

const drainingRecord = (port: number) => {
  const fields = { service: 's', host: '127.0.0.1', port, dataCentre: 'd', slots: 4 };
  const state = { state: 'draining', warmupLeftMs: 0, sequence: 2, startedAt: 0 };
  return { key: 'i0', value: Buffer.from(JSON.stringify({ ...fields, ...state })) };
};

const service = { name: 's', maxConnections: 100, healthPath: HEALTH_PATH, engine: undefined };

describe('answers without length or chunks', () => {
  // Guards against a truncated stream that looks complete: the process that answered has exited, and another one
  // listens at its address before the check.
  it('are not complete when a successor listens at the address', async () => {
    const upstreams: FakeUpstream[] = [];
    const successors: Promise<FakeUpstream>[] = [];
    const handler = unframed((req, res) => {
      streamEvents([1, 2], 'whole')(req, res);
      const [upstream] = upstreams;
      if (!upstream || successors.length > 0) return;
      const { port } = upstream;
      successors.push(upstream.close().then(() => startFakeUpstream(() => {}, port)));
    });
    upstreams.push(await startFakeUpstream(handler));
    const route = { ...streamRoute, resumable: false };
    const entry = await startEntry({ upstreams, route, intent: { services: [service] } });
    try {
      const response = await entry.send();
      expect(response.isComplete).to.equal(false);
    } finally {
      await entry.close();
      await Promise.all(successors.map(async (successor) => (await successor).close()));
    }
  });

  // Guards against a truncated stream that looks complete: nobody checked an upstream that is leaving.
  it('are not complete when the process has exited while it was leaving', async () => {
    const upstreams: FakeUpstream[] = [];
    const entries: Entry[] = [];
    const handler = unframed((req, res) => {
      entries[0]?.directory.apply(drainingRecord(upstreams[0]?.port ?? 0));
      streamEvents([1, 2], 'whole')(req, res);
      void upstreams[0]?.close();
    });
    upstreams.push(await startFakeUpstream(handler));
    const route = { ...streamRoute, resumable: false };
    const entry = await startEntry({ upstreams, route });
    entries.push(entry);
    try {
      const response = await entry.send();
      expect(response.isComplete).to.equal(false);
    } finally {
      await entry.close();
    }
  });

  // Guards against a body that is cut off in the middle and looks complete, as its upstream lives on.
  it('are not complete when they are JSON that is cut off', async () => {
    const handlers = [unframedBody('application/json', '{"a": [1,')];
    await withEntry(handlers, { route: { maxAttempts: 1 } }, async (entry) => {
      expect((await entry.send()).status).to.equal(502);
    });
  });

  it('are complete when they are whole JSON', async () => {
    const handlers = [unframedBody('application/json', '{"a": [1]}')];
    await withEntry(handlers, {}, async (entry) => {
      expect((await entry.send()).body).to.equal('{"a": [1]}');
    });
  });

  // Guards against a head without any event that is forwarded as a complete stream.
  it('are not complete when they are a stream without an event', async () => {
    const handler = unframed(streamEvents([], 'whole'));
    const route = { ...streamRoute, resumable: false };
    await withEntry([handler], { route }, async (entry) => {
      expect((await entry.send()).status).to.equal(502);
    });
  });
});
