// Starts the project's programs with the commands of the deploy file, on loopback addresses.

import { spawn } from 'node:child_process';
import console from 'node:console';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer, get } from 'node:http';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import process from 'node:process';
import { setTimeout } from 'node:timers';
import { fileURLToPath } from 'node:url';

const EXIT_NOT_RUN = 2;
const root = join(dirname(fileURLToPath(import.meta.url)), '..', '..');

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** A prefix of loopback addresses that differs between runs; every program gets an address of its own. */
const prefix = `127.${20 + Math.floor(Math.random() * 200)}.${1 + Math.floor(Math.random() * 250)}`;
export const addressOf = (number) => `${prefix}.${number}`;

/** A port that is free on the first address; all machines of a site use the same ports. */
const freePort = () =>
  new Promise((resolve) => {
    const probe = createServer();
    probe.listen(0, addressOf(1), () => {
      const { port } = probe.address();
      probe.close(() => resolve(port));
    });
  });

/** Reads the command of a role from the deploy file. */
const commandOf = (role) => {
  const text = readFileSync(join(root, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  return /^run = "([^"]+)"/m.exec(section)[1].split(' ');
};

const settingsText = (machine, site) => `
node_name = "${machine.name}"
role = "${machine.role}"
machine_class = "${machine.role === 'entry' ? 'edge' : 'side'}"
serves = ["${machine.role === 'entry' ? 'edge' : 'side'}"]
ip = "${machine.ip}"
zone = "${machine.zone}"
region = "r"
internal_port_range = [${site.ports.links},${site.ports.links + 15}]
seed_nodes = [${site.seeds.map((ip) => `"${ip}:${site.ports.links + 15}"`).join(',')}]
bootstrap = true
heartbeat_ms = 1200
${machine.app ? `service = "${machine.service}"\napp = "${machine.app}"` : ''}
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","experts"]
[zones]
kent-hall = "r"
lynnwood-hall = "r"
vancouver-hall = "r"
[listen]
frontend = "${machine.ip}:${site.ports.frontend}"
readiness = "${machine.ip}:${site.ports.readiness}"
control_plane = "${machine.ip}:${site.ports.links + 15}"
[limits]
cpu_fraction = ${machine.role === 'entry' ? 0.513 : 0.405}
cpu_cores = 1
memory_mb = ${machine.role === 'entry' ? 350 : 218}
max_fds = ${machine.role === 'entry' ? 4100 : 1494}
link_mbps = ${machine.role === 'entry' ? 1000.0 : 14.0}
[bounds]
seed_lag_s = 3
reuse_after_s = 2
stability_window_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_allowance = 90
recover_s = 12
pass_ms = 120
stall_ms = 1500
[platform]
address = "${site.store}"
form = "log"
`;

/** Starts a site of machines; each one is `{ name, role, ip, zone }`, with `app` and `service` for an agent. */
export const startSite = async (store) => {
  const folder = mkdtempSync(join(tmpdir(), 'plantaindrum-review-'));
  const ports = { frontend: await freePort(), readiness: await freePort() };
  do ports.links = 12_000 + Math.floor(Math.random() * 15_000);
  while (
    Object.values(ports).some((port) => Math.abs(port - ports.links) < 20 && port !== ports.links)
  );
  const site = { ports, seeds: [], store };
  const running = new Set();

  const start = (machine) => {
    const path = join(folder, `${machine.name}.toml`);
    writeFileSync(path, settingsText(machine, site));
    const [program, ...args] = commandOf(machine.role);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program === 'node' ? process.execPath : program, args, {
      cwd: root,
      env: { PATH, HOME, LANG, PLANTAINDRUM_BOOT: path },
      stdio: ['ignore', machine.onLog ? 'pipe' : 'ignore', 'ignore'],
    });
    if (machine.onLog) child.stdout.on('data', (data) => machine.onLog(String(data)));
    running.add(child);
    const exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        running.delete(child);
        resolve({ code, signal });
      });
    });
    return { ...machine, child, exited };
  };

  const isReady = (machine) =>
    new Promise((resolve) => {
      const url = `http://${machine.ip}:${ports.readiness}/plantaindrum/readyz`;
      const req = get(url, { timeout: 900, agent: false }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(false));
    });

  const waitUntilReady = async (machine, limitMs = 15_000) => {
    for (let waited = 0; waited < limitMs; waited += 100) {
      if (await isReady(machine)) return;
      await sleep(100);
    }
    throw new Error(`${machine.name} isn't ready after ${limitMs} ms`);
  };

  const killAll = () => running.forEach((child) => child.kill('SIGKILL'));
  process.on('exit', killAll);
  // A case that can't run isn't a broken rule: only a verdict exits with 1.
  const giveUp = (err) => {
    console.error(err);
    process.exit(EXIT_NOT_RUN);
  };
  process.on('uncaughtException', giveUp);
  ['SIGINT', 'SIGTERM'].forEach((signal) => process.on(signal, giveUp));

  return {
    ports,
    setSeeds: (ips) => {
      site.seeds = ips;
    },
    start,
    isReady,
    waitUntilReady,
    close: async () => {
      killAll();
      while (running.size > 0) await sleep(20);
      rmSync(folder, { recursive: true });
    },
  };
};
