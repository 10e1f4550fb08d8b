import { spawn } from 'node:child_process';
import { once } from 'node:events';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';
import { createLogStandIn } from '@plantaindrum/stand-ins';
import { expect } from 'chai';
import { settingsFor } from './support/agent.js';
import { createFakeEntry, dispatchOf, textOf } from './support/entry.js';
import { createFakeUpstream } from './support/upstream.js';

const bin = fileURLToPath(new URL('../bin/plantaindrum-agent.js', import.meta.url));

describe('plantaindrum-agent', () => {
  const directory = mkdtempSync(join(tmpdir(), 'plantaindrum-agent-'));
  const children: ReturnType<typeof spawn>[] = [];
  after(() => rmSync(directory, { recursive: true }));

  afterEach(() => children.splice(0).forEach((child) => child.kill('SIGKILL')));

  const run = (...args: string[]) => {
    const child = spawn(process.execPath, [bin, ...args]);
    children.push(child);
    return child;
  };

  const finish = async (child: ReturnType<typeof run>) => {
    let out = '';
    child.stdout.on('data', (text) => {
      out += String(text);
    });
    child.stderr.on('data', (text) => {
      out += String(text);
    });
    const [code] = (await once(child, 'close')) as [number];
    return { code, out };
  };

  const untilReady = async (operators: string): Promise<void> => {
    let { status } = await fetch(`${operators}/ready`);
    while (status !== 200) ({ status } = await fetch(`${operators}/ready`));
  };

  it('prints help and version, and names a fault in its settings', async () => {
    expect(await finish(run('--version'))).to.deep.equal({ code: 0, out: '0.1.0\n' });
    expect(await finish(run('--help'))).toMatchSnapshot();
    const file = join(directory, 'bad.jsonc');
    writeFileSync(file, '{\n  "node": { "name": "kent-m1" },\n}');
    const bad = await finish(run('--settings', file));
    expect(bad.code).to.equal(1);
    expect(bad.out).to.contain(`${file}:2: node.dataCentre: found nothing`);
    expect((await finish(run('--nonsense'))).code).to.equal(2);
  });

  it('serves until SIGTERM, finishes running requests, then exits with 0', async () => {
    const upstream = await createFakeUpstream();
    const log = await createLogStandIn();
    const file = join(directory, 'agent.jsonc');
    writeFileSync(file, JSON.stringify(settingsFor(upstream.url, {}, log.url)));
    const child = run('--settings', file);
    child.stderr.resume();
    const [line] = (await once(createInterface(child.stdout), 'line')) as [string];
    const ready = JSON.parse(line) as { ready: boolean; link: string; operators: string };
    expect(ready.ready).to.equal(true);
    await untilReady(ready.operators);
    expect((await fetch(`${ready.operators}/status`)).status).to.equal(401);
    const headers = { authorization: 'Bearer operators-token' };
    expect((await fetch(`${ready.operators}/status`, { headers })).status).to.equal(200);
    const entry = createFakeEntry(ready.link);
    const link = await entry.nextLink();
    link.send(dispatchOf('e:1'));
    const { res } = await upstream.next();
    child.kill('SIGTERM');
    await entry.until('leaving');
    res.end('whole');
    const [code] = (await once(child, 'close')) as [number];
    expect(textOf(await entry.until('end'))).to.equal('whole');
    expect(code).to.equal(0);
    await entry.close();
    await upstream.close();
    await log.close();
  });
});
