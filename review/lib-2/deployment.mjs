/** A small deployment on loopback addresses: the store, servers and entries, each server and entry a process of its own. */

import { fork, spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { get } from 'node:http';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import process from 'node:process';
import { clearInterval, setInterval } from 'node:timers';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath, URL } from 'node:url';
import { listServer, startStoreStandIn } from '@plantaindrum/stand-ins';

const root = fileURLToPath(new URL('../../', import.meta.url));
const serverProgram = fileURLToPath(new URL('server.mjs', import.meta.url));

/** Addresses of this run: each process has a loopback address of its own. */
const block = `127.${20 + (process.pid % 200)}`;
const CALLERS_PORT = 21_227;
const READINESS_PORT = 21_220;
const LINK_PORT = 21_340;
const SERVER_PORT = 21_228;
const HEARTBEAT_MS = 1_200;

/** Host name of all routes, and the key of the one tenant. */
export const HOST = 'ficu95.example';
export const KEY = 'n2ctnfzs989anu6wsjnb';

/** Command of a role in the deploy file. */
const commandOf = (role) => {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const [, section] = text.split(`[roles.${role}]`);
  const [, run] = /^run = "([^"]+)"/m.exec(section);
  return run.split(' ');
};

/** Settings of an entry, with the figures of the site file. */
const settingsText = ({ name, ip, storePort, seeds }) => `
node_name = "${name}"
role = "entry"
machine_class = "edge"
serves = ["edge"]
ip = "${ip}"
zone = "kent-hall"
region = "nw-cascadia"
internal_port_range = [${LINK_PORT},${LINK_PORT + 15}]
seed_nodes = [${seeds.map((seed) => `"${seed}:21229"`).join(',')}]
bootstrap = true
heartbeat_ms = ${HEARTBEAT_MS}
[zones]
kent-hall = "nw-cascadia"
[listen]
frontend = "${ip}:${CALLERS_PORT}"
readiness = "${ip}:${READINESS_PORT}"
[limits]
cpu_fraction = 0.513
cpu_cores = 1
memory_mb = 350
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[bounds]
stability_window_ms = 3000
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_window_s = 10
retry_allowance = 90
recover_s = 12
[platform]
address = "127.0.0.1:${storePort}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
`;

/**
 * Starts a deployment. `servers` are lists of `{ service, count, workMs, slots, pauseMs, events }`; `routes` and
 * `services` are those of the desired state. `onServer` gets each message of a server.
 */
export const startDeployment = async (options) => {
  const { entries, servers, routes, services, onServer, isLinked = false } = options;
  const folder = mkdtempSync(join(tmpdir(), 'plantaindrum-review-'));
  const store = await startStoreStandIn();
  const children = new Set();
  const track = (child) => {
    children.add(child);
    child.once('exit', () => children.delete(child));
    return child;
  };

  const serverList = servers.flatMap(({ service, count, ...rest }, group) =>
    Array.from({ length: count }, (_, at) => ({
      ...{ service, instance: `i-${service}-${at}`, host: `${block}.${group + 2}.${at + 1}` },
      ...{ port: SERVER_PORT, ...rest },
      // Behind a link the server listens at another address than the one that is listed.
      ...(isLinked && { listen: { host: `${block}.${group + 102}.${at + 1}` } }),
    })),
  );
  let sequence = 1;
  const writeServers = () => {
    sequence += 1;
    serverList.forEach(({ instance, service, host, port, slots }) =>
      listServer(store, instance, service, `${host}:${port}`, {
        ...{ zone: 'kent-hall', slots, sequence },
      }),
    );
  };
  /** Starts a server's process; resolves when it listens, or waits for the message to do so. */
  const startServer = async (server, isWaiting = false) => {
    const { child: _, ...settings } = { ...server, ...server.listen, isWaiting };
    const child = track(fork(serverProgram, [JSON.stringify(settings)]));
    await new Promise((resolve) => {
      child.on('message', (message) => {
        if (message.event === 'waiting' || message.event === 'listening') resolve();
        onServer(message);
      });
    });
    return child;
  };
  await Promise.all(
    serverList.map(async (server) => Object.assign(server, { child: await startServer(server) })),
  );
  writeServers();
  const heartbeat = setInterval(writeServers, HEARTBEAT_MS);
  const putState = (version, changes = {}) =>
    store.put('keyed.op', 'config', {
      version,
      ...{ routes, services },
      limits: {
        ...{ max_header_bytes: 16_384, max_body_bytes: 1_048_576 },
        ...{ header_timeout_ms: 5_000, idle_timeout_ms: 15_000 },
      },
      tenants: [{ name: 'hule930', api_keys: [KEY] }],
      ...changes,
    });
  putState(3);

  const entryList = Array.from({ length: entries }, (_, at) => ({
    ...{ name: `edge-kent-hall-${at + 1}`, ip: `${block}.1.${at + 1}`, port: CALLERS_PORT },
    ...{ ends: [], starts: 0 },
  }));
  let isClosed = false;
  const startEntry = (entry, onEnd = () => {}) => {
    const path = join(folder, `${entry.name}.toml`);
    const seeds = entryList.slice(0, 3).map(({ ip }) => ip);
    writeFileSync(path, settingsText({ ...entry, storePort: store.port, seeds }));
    const [program, ...args] = commandOf('entry');
    const env = { PATH: process.env.PATH, HOME: process.env.HOME, PLANTAINDRUM_BOOT: path };
    const child = track(
      spawn(program, args, { cwd: root, env, stdio: ['ignore', 'pipe', 'pipe'] }),
    );
    Object.assign(entry, { child, starts: entry.starts + 1, stderr: '', log: [] });
    child.stdout.on('data', (bytes) => entry.log.push(bytes));
    child.stderr.on('data', (bytes) => {
      Object.assign(entry, { stderr: (entry.stderr + bytes).slice(-4_000) });
    });
    child.once('exit', (code, signal) => {
      if (isClosed) return;
      entry.ends.push({ at: Date.now(), code, signal });
      onEnd(entry, { code, signal });
    });
  };
  const isReady = ({ ip }) =>
    new Promise((resolve) => {
      const req = get({ host: ip, port: READINESS_PORT, path: '/plantaindrum/readyz' }, (res) => {
        res.resume();
        resolve(res.statusCode === 200);
      });
      req.setTimeout(1_000, () => req.destroy());
      req.on('error', () => resolve(false));
    });
  const waitUntilReady = async (timeoutMs) => {
    for (const until = Date.now() + timeoutMs; Date.now() < until; await sleep(50)) {
      const ready = await Promise.all(entryList.map(isReady));
      if (ready.every(Boolean)) return true;
    }
    return false;
  };
  const close = async () => {
    isClosed = true;
    clearInterval(heartbeat);
    children.forEach((child) => child.kill('SIGKILL'));
    await store.close();
    rmSync(folder, { recursive: true, force: true });
  };
  return {
    ...{ store, entryList, serverList, putState, writeServers, startServer, startEntry },
    ...{ isReady, waitUntilReady, close },
  };
};
