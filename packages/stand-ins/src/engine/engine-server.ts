/** HTTP API of one engine: completions, metrics, cache events, health, orders and group state. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Signal } from '../signal.js';
import { requestUrl, readJson, sendJson } from '../http.js';
import type { Handler } from '../http.js';
import { serveCompletion } from './completions.js';
import type { Engine, OrderFault } from './engine.js';
import type { OrderBody, OrderOutcome } from './orders.js';
import { applyOrder, checkFence, mustWaitBefore } from './orders.js';
import type { Stepper } from './stepper.js';
import { promptBlocks } from './text.js';

const increment = (counts: Record<string, number>, key: string): void => {
  // eslint-disable-next-line no-param-reassign
  counts[key] = (counts[key] ?? 0) + 1;
};

const metricsText = (engine: Engine): string => {
  const { running, waiting, cacheUsage } = engine.memory.reported.get();
  const label = `{model_name="${[...engine.memory.models][0] ?? ''}"}`;
  return [
    `vllm:num_requests_running${label} ${running}`,
    `vllm:num_requests_waiting${label} ${waiting}`,
    `vllm:kv_cache_usage_perc${label} ${cacheUsage}`,
    '',
  ].join('\n');
};

const groupView = (engine: Engine): unknown => {
  const { state } = engine.memory;
  const { armed } = state;
  return {
    group: state.formed?.group ?? null,
    fence: state.fence,
    refused_to: state.refusedTo,
    ranks: engine.ranks.map((rank, at) => ({
      rank,
      step: state.step,
      version: state.map?.version ?? null,
      prepared: [...state.prepared.keys()],
      armed: armed
        ? { version: armed.version, at_step: armed.atStep, decided: armed.decided }
        : null,
      holding: mustWaitBefore(state, state.step + 1),
      step_time_us: Math.round(engine.rankUs[at] ?? 0),
      tokens_by_expert: (engine.tokensByExpert[at] ?? []).map((tokens) =>
        Array.from(tokens, Math.round),
      ),
    })),
  };
};

const serveEvents = (engine: Engine, res: ServerResponse): void => {
  res.writeHead(200, { 'content-type': 'text/event-stream' });
  res.flushHeaders();
  const unsubscribe = engine.memory.cache.subscribe((seq, event) => {
    res.write(`id: ${seq}\ndata: ${JSON.stringify(event)}\n\n`);
  });
  res.once('close', unsubscribe);
};

const consumeOrderFault = (engine: Engine, name: string): OrderFault['fault'] | undefined => {
  const match = engine.faults.orders.find(
    (fault) => fault.count > 0 && (fault.name ?? name) === name,
  );
  if (!match) return undefined;
  match.count -= 1;
  return match.fault;
};

/** Applies an order that changes the role, models or adapters; returns false for other orders. */
const applyServingOrder = (engine: Engine, name: string, body: OrderBody): boolean => {
  const { memory } = engine;
  if (name === 'set_role') memory.role = body.name ?? memory.role;
  else if (name === 'load_model') memory.models.add(body.name ?? '');
  else if (name === 'load_adapter') memory.adapters.add(body.name ?? '');
  else return false;
  return true;
};

/** Creates the handler of `GET /group`; a stale report repeats the last live one. */
const createGroupReport = (engine: Engine): ((res: ServerResponse) => void) => {
  let lastReport: unknown;
  return (res) => {
    const { groupReport } = engine.faults;
    if (groupReport === 'missing') {
      sendJson(res, 503, {});
      return;
    }
    if (groupReport === 'live' || lastReport === undefined) lastReport = groupView(engine);
    sendJson(res, 200, lastReport);
  };
};

/** Creates the request handler of one engine. */
export const createEngineHandler = (
  engine: Engine,
  stepper: Stepper,
  changed: Signal,
  onOrder: () => void,
): Handler => {
  const sendGroup = createGroupReport(engine);

  const executeOrder = async (name: string, body: OrderBody): Promise<OrderOutcome> => {
    const { memory } = engine;
    const fenceCheck = checkFence(memory.state, body, engine.faults.checksFence);
    if (!fenceCheck.done || applyServingOrder(engine, name, body)) return fenceCheck;
    if ((name === 'prepare_map' || name === 'form_group') && body.map) {
      await memory.weights.load(body.map, engine.ranks);
      const secondFenceCheck = checkFence(memory.state, body, engine.faults.checksFence);
      if (!secondFenceCheck.done) return secondFenceCheck;
    }
    const outcome = applyOrder(memory.state, name, body);
    if (outcome.done && name === 'form_group') {
      engine.tokensByExpert.flat().forEach((tokens) => tokens.fill(0));
      stepper.join(engine);
    }
    changed.notify();
    return outcome;
  };

  const serveOrder = async (
    req: IncomingMessage,
    res: ServerResponse,
    name: string,
  ): Promise<void> => {
    const body = await readJson<OrderBody>(req);
    const fault = consumeOrderFault(engine, name);
    if (fault === 'drop') {
      req.socket.destroy();
      return;
    }
    const { counts, memory } = engine;
    if (fault === 'hold') {
      counts.heldOrders += 1;
      onOrder();
      await engine.ordersReleased.wait();
      counts.heldOrders -= 1;
    }
    if (engine.memory !== memory) return;
    increment(engine.counts.orders, name);
    if (fault === 'twice') await executeOrder(name, body);
    const outcome = await executeOrder(name, body);
    if (!outcome.done) increment(engine.counts.refusedOrders, outcome.refused);
    onOrder();
    if (fault === 'lose-answer') {
      req.socket.destroy();
      return;
    }
    if (outcome.done) sendJson(res, 200, groupView(engine));
    else sendJson(res, outcome.refused === 'unknown-order' ? 404 : 409, outcome);
  };

  const serveCache = async (
    req: IncomingMessage,
    res: ServerResponse,
    pathname: string,
  ): Promise<void> => {
    const body = await readJson<{ prompt?: string; block_hashes?: string[] }>(req);
    if (pathname === '/kv/import') engine.memory.cache.importBlocks(body.block_hashes ?? []);
    const storedHashes = promptBlocks(body.prompt ?? '').filter((hash) =>
      engine.memory.cache.has(hash),
    );
    sendJson(res, 200, { block_hashes: storedHashes });
  };

  return async (req, res) => {
    const { memory } = engine;
    while (engine.faults.frozen && engine.alive) await changed.wait();
    if (engine.memory !== memory) return;
    const { pathname } = requestUrl(req);
    if (req.method === 'POST' && pathname === '/v1/completions') {
      await serveCompletion(engine, req, res);
      return;
    }
    if (req.method === 'POST' && pathname.startsWith('/orders/')) {
      await serveOrder(req, res, pathname.slice('/orders/'.length));
      return;
    }
    if (req.method === 'POST' && pathname.startsWith('/kv/')) {
      await serveCache(req, res, pathname);
      return;
    }
    if (pathname === '/metrics') res.end(metricsText(engine));
    else if (pathname === '/kv-events') serveEvents(engine, res);
    else if (pathname === '/group') sendGroup(res);
    else if (pathname === '/health') sendJson(res, engine.faults.healthy ? 200 : 503, {});
    else sendJson(res, 404, {});
  };
};
