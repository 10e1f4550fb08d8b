import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import type { EntryStatus, NodeReport } from '../src/index.js';
import { runCli } from '../src/index.js';
import { formatEntryStatus } from '../src/cli/status/format.js';
import type { TestSite } from './support/site.js';
import { startSite, TOKEN } from './support/site.js';

const COMMANDS = ['entry', 'check', 'apply', 'show', 'status', 'data-centre'];

describe('command line', () => {
  let folder: string;
  let site: TestSite;

  /**
   * Runs a command; paths and addresses, which differ between runs, are replaced by placeholders.
   */
  const run = async (argv: string[], env: Record<string, string> = {}) => {
    const lines: string[] = [];
    const plain = (line: string): string =>
      line.replaceAll(folder, 'FOLDER').replaceAll(site.entry.operators, 'OPERATORS');
    const io = {
      out: (line: string) => lines.push(plain(line)),
      err: (line: string) => lines.push(`(err) ${plain(line)}`),
      env,
    };
    const code = await runCli(argv, io);
    return { argv: argv.map(plain), code, lines: lines.join('\n') };
  };

  const write = (name: string, content: unknown): string => {
    const file = join(folder, name);
    writeFileSync(file, typeof content === 'string' ? content : JSON.stringify(content));
    return file;
  };

  const login = () => ({
    PLANTAINDRUM_OPERATORS: site.entry.operators,
    PLANTAINDRUM_TOKEN: TOKEN,
  });

  before(async () => {
    folder = mkdtempSync(join(tmpdir(), 'plantaindrum-cli-'));
    site = await startSite([]);
  });

  after(async () => {
    await site.close();
    rmSync(folder, { recursive: true });
  });

  it('prints help and version', async () => {
    expect(await run(['--help'])).toMatchSnapshot();
    for (const command of COMMANDS) expect(await run([command, '--help'])).toMatchSnapshot();
    expect((await run(['--version'])).lines).to.match(/^\d+\.\d+\.\d+$/);
  });

  it('prints errors with a hint', async () => {
    const faulty = write('faulty.jsonc', '{\n  "node": { "name": "e1" },\n  "callers": 5\n}');
    const broken = write('broken.jsonc', '{ "classes": ');
    const intent = write('intent.jsonc', { classes: { live: { latestAnswerMs: -1 } } });
    const good = write('good.jsonc', { classes: { live: { latestAnswerMs: 1 } } });
    const nowhere = { PLANTAINDRUM_OPERATORS: 'http://127.0.0.1:1', PLANTAINDRUM_TOKEN: TOKEN };
    expect(await run([])).toMatchSnapshot();
    expect(await run(['frobnicate'])).toMatchSnapshot();
    expect(await run(['entry'])).toMatchSnapshot();
    expect(await run(['entry', '--settings', join(folder, 'none.jsonc')])).toMatchSnapshot();
    expect(await run(['check', faulty])).toMatchSnapshot();
    expect(await run(['check', broken])).toMatchSnapshot();
    expect(await run(['apply', intent], login())).toMatchSnapshot();
    expect(await run(['status'])).toMatchSnapshot();
    expect(await run(['status'], nowhere)).toMatchSnapshot();
    expect(await run(['show'], { ...login(), PLANTAINDRUM_TOKEN: 'wrong' })).toMatchSnapshot();
    expect(await run(['apply', good, '--from', '-1'], login())).toMatchSnapshot();
    expect(await run(['data-centre', 'pause', 'kent'], login())).toMatchSnapshot();
  });

  it('applies changed keys and keeps sections that the file leaves out', async () => {
    const classes = { live: { latestAnswerMs: 900 }, export: { latestAnswerMs: 5_000 } };
    const file = write('classes.jsonc', { classes });
    expect(await run(['apply', file, '--author', 'op'], login())).toMatchSnapshot();
    expect(await run(['apply', file, '--author', 'op'], login())).toMatchSnapshot();
    expect(await run(['show'], login())).toMatchSnapshot();
  });

  it('formats the status of an entry', () => {
    const status: EntryStatus = {
      node: {
        name: 'kent-e1',
        dataCentre: 'kent',
        region: 'northwest',
        role: 'entry',
        instance: 'i1',
      },
      ready: false,
      duty: 'finish',
      reason: 'this VM is leaving',
      inFlight: 3,
      intent: { offset: 41, freshness: { caughtUp: true, behind: 0, state: 'fresh' } },
      dataCentres: [{ name: 'kent', state: 'serving' }],
      classes: [
        {
          name: 'live-summary',
          latestAnswerMs: 1_500,
          share: 0.98,
          requests: 200,
          served: 0.97,
          met: false,
        },
        {
          name: 'lot-draft',
          latestAnswerMs: 10_000,
          share: 0.95,
          requests: 0,
          served: undefined,
          met: undefined,
        },
      ],
      organisations: [{ name: 'rainier', answered: 190, refused: 9, gone: 1 }],
      upstreams: [
        {
          name: 'kent-u1',
          dataCentre: 'kent',
          serves: 'lot-writer',
          group: 'g1',
          linked: true,
          leaving: false,
          health: 'serving',
          outstanding: 3,
          queued: 1,
          running: 2,
          drainPerSecond: 8.5,
        },
        {
          name: 'kent-u2',
          dataCentre: 'kent',
          serves: 'lot-writer',
          group: 'g1',
          linked: false,
          leaving: false,
          health: 'ejected',
          outstanding: 0,
        },
      ],
      groups: [{ name: 'g1', upstreams: 2, linked: 1 }],
    };
    const coordinator = {
      role: 'acting',
      version: 7,
      imbalance: 1.08,
      stragglers: [{ rank: 3, speed: 0.6 }],
    };
    const nodes: NodeReport[] = [
      { node: 'kent-e1', role: 'entry', dataCentre: 'kent', inFlight: 3, intentOffset: 41 },
      {
        node: 'kent-u1',
        role: 'agent',
        dataCentre: 'kent',
        inFlight: 3,
        intentOffset: 41,
        group: { group: 'g1', coordinator },
      },
      { node: 'kent-u2', role: 'agent', dataCentre: 'kent' },
    ];
    expect(formatEntryStatus(status, nodes)).toMatchSnapshot();
  });
});
