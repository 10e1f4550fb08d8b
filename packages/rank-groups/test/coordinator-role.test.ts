import { expect } from 'chai';
import {
  createManualClock,
  createMetrics,
  createSeededRandom,
  silentEventLog,
} from '@plantaindrum/common';
import { createCoordinator } from '../src/index.js';
import { createCoordinatorRole } from '../src/links/coordinator-role.js';
import { createTelemetryPoller } from '../src/links/telemetry-poller.js';
import { createFakeRanks } from './fakes/fake-ranks.js';

const RANKS = 4;

/**
 * A coordinator and a telemetry poller whose role the test controls; counts the timers that they
 * arm.
 */
const start = () => {
  const manual = createManualClock();
  let timers = 0;
  let polls = 0;
  let isLowest = false;
  const clock = {
    ...manual,
    after: (ms: number, fn: () => void) => {
      timers += 1;
      return manual.after(ms, fn);
    },
  };
  const role = createCoordinatorRole(() => isLowest);
  const group = createFakeRanks({ size: RANKS, clock: manual, fault: () => 'slow', lateMs: 1 });
  const coordinator = createCoordinator({
    port: {
      ...group.port(() => true),
      placements: async () => new Map(),
      publishMapInUse: () => {},
    },
    ownRank: 1,
    shape: { sets: 1, experts: RANKS, places: 2, spare: 1, copyMs: 20 },
    weighs: 'skew',
    isLowest: role.isLowest,
    whenLowest: role.whenLowest,
    cachedPlacement: () => undefined,
    telemetryIntervalMs: () => 80,
    orderOwnRankViaPeer: () => undefined,
    clock,
    random: createSeededRandom(3),
    metrics: createMetrics(),
    log: silentEventLog,
  });
  const poller = createTelemetryPoller({
    whenCoordinating: role.whenLowest,
    queryTelemetry: async () => {
      polls += 1;
      return { telemetry: { reports: [], picks: [] }, answered: RANKS, ranks: RANKS };
    },
    onReport: () => {},
    onSelectionCounts: () => {},
    clock,
  });
  return {
    advance: manual.advance,
    timers: () => timers,
    polls: () => polls,
    setLowest: (value: boolean) => {
      isLowest = value;
      role.handleChange();
    },
    close: () => {
      coordinator.close();
      poller.close();
    },
  };
};

describe('an agent that does not coordinate', () => {
  // Without this, each agent of a group would check fifty times a second whether it coordinates.
  it('arms no timer while another agent coordinates', async () => {
    const setup = start();
    await setup.advance(500);
    const before = setup.timers();
    await setup.advance(5_000);
    expect(setup.timers()).to.equal(before);
    expect(setup.polls()).to.equal(0);
    setup.close();
  });

  it('starts to coordinate once no lower rank is linked, and stops when one is', async () => {
    const setup = start();
    await setup.advance(500);
    setup.setLowest(true);
    await setup.advance(10);
    expect(setup.polls()).to.equal(1);
    await setup.advance(1_000);
    setup.setLowest(false);
    await setup.advance(200);
    const { polls, timers } = { polls: setup.polls(), timers: setup.timers() };
    expect(polls).to.be.greaterThan(5);
    await setup.advance(2_000);
    expect([setup.polls(), setup.timers()]).to.deep.equal([polls, timers]);
    setup.close();
  });
});
