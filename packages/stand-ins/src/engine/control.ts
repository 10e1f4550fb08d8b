/** Control API of an engine group. */
import { requestUrl, readJson, sendJson } from '../http.js';
import type { Handler } from '../http.js';
import type { EngineFaults } from './engine.js';
import type { EngineGroupStandIn } from './group-types.js';
import type { PopularityMotion } from './popularity.js';

/** Body of `POST /faults`: the engine, changes to its faults, and at most one action. */
export interface EngineFaultRequest extends Partial<EngineFaults> {
  engine: number;
  action?: 'kill' | 'restart' | 'release-orders';
}

/**
 * Creates the request handler: `GET /oracle[?recent=n]`, `POST /oracle/reset`, `GET /state`, `GET /starts`,
 * `POST /faults`, `POST /popularity` `{"motion","seed"?}`.
 */
export const createControlHandler = (
  group: Omit<EngineGroupStandIn, 'control' | 'close'>,
): Handler => {
  const applyFaultRequest = async (body: EngineFaultRequest): Promise<void> => {
    const { engine, action, ...faults } = body;
    if (Object.keys(faults).length > 0) group.setFaults(engine, faults);
    if (action === 'kill') await group.kill(engine);
    if (action === 'restart') await group.restart(engine);
    if (action === 'release-orders') group.releaseOrders(engine);
  };

  return async (req, res) => {
    const { pathname, searchParams } = requestUrl(req);
    if (pathname === '/oracle') {
      sendJson(res, 200, group.oracle(Number(searchParams.get('recent') ?? 0)));
      return;
    }
    if (pathname === '/state') {
      sendJson(res, 200, group.views());
      return;
    }
    if (pathname === '/starts') {
      sendJson(res, 200, group.starts());
      return;
    }
    if (req.method !== 'POST') {
      sendJson(res, 404, {});
      return;
    }
    if (pathname === '/faults') await applyFaultRequest(await readJson<EngineFaultRequest>(req));
    if (pathname === '/oracle/reset') group.resetOracle();
    if (pathname === '/popularity') {
      const body = await readJson<{ motion: PopularityMotion; seed?: number }>(req);
      group.movePopularity(body.motion, body.seed);
    }
    sendJson(res, 200, {});
  };
};
