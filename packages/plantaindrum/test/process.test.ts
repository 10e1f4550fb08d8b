import { spawn } from 'node:child_process';
import type { ChildProcessByStdio } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { Readable } from 'node:stream';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import type { LogStandIn, VmListStandIn } from '@plantaindrum/stand-ins';
import { createLogStandIn, createVmListStandIn } from '@plantaindrum/stand-ins';

const BINARY = fileURLToPath(new URL('../bin/plantaindrum.js', import.meta.url));
const ANY_PORT = { host: '127.0.0.1', port: 0 };

type Child = ChildProcessByStdio<null, Readable, Readable>;

/** Resolves with the output of a stream once it contains the text. */
const outputContaining = (stream: Readable, text: string): Promise<string> =>
  new Promise((resolve) => {
    let output = '';
    stream.on('data', (part) => {
      output += String(part);
      if (output.includes(text)) resolve(output);
    });
  });

describe('entry process', () => {
  let folder: string;
  let log: LogStandIn;
  let list: VmListStandIn;
  let child: Child;

  const startWith = (callers: { host: string; port: number }): Child => {
    const file = join(folder, 'entry.json');
    const settings = {
      node: { name: 'e1', dataCentre: 'kent', region: 'northwest' },
      callers,
      operators: { ...ANY_PORT, token: 'operators-token' },
      link: ANY_PORT,
      platform: { logUrl: log.url, vmListUrl: list.url },
    };
    writeFileSync(file, JSON.stringify(settings));
    const args = [BINARY, 'entry', '--settings', file];
    child = spawn(process.execPath, args, { stdio: ['ignore', 'pipe', 'pipe'] });
    return child;
  };

  beforeEach(async () => {
    folder = mkdtempSync(join(tmpdir(), 'plantaindrum-entry-'));
    log = await createLogStandIn();
    list = await createVmListStandIn();
  });

  afterEach(async () => {
    child.kill('SIGKILL');
    await list.close();
    await log.close();
    rmSync(folder, { recursive: true });
  });

  it('prints its addresses, and exits with 0 on SIGTERM', async () => {
    startWith(ANY_PORT);
    const ready = JSON.parse(await outputContaining(child.stdout, '\n')) as Record<string, unknown>;
    expect(Object.keys(ready)).to.deep.equal(['ready', 'callers', 'operators', 'link']);
    expect(ready.ready).to.equal(true);
    child.kill('SIGTERM');
    expect(await once(child, 'exit')).to.deep.equal([0, null]);
  });

  it('exits at once on a second signal', async () => {
    startWith(ANY_PORT);
    await outputContaining(child.stdout, '\n');
    const drainAnnounced = outputContaining(child.stderr, 'a second signal exits at once');
    child.kill('SIGTERM');
    await drainAnnounced;
    child.kill('SIGINT');
    expect(await once(child, 'exit')).to.deep.equal([130, null]);
  });

  it('exits with an error when it cannot listen', async () => {
    const { hostname, port } = new URL(log.url);
    startWith({ host: hostname, port: Number(port) });
    const errorOutput = outputContaining(child.stderr, 'Hint');
    expect(await once(child, 'exit')).to.deep.equal([5, null]);
    expect(await errorOutput).to.match(/^\[listen-failed\]/m);
  });
});
