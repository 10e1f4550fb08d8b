import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import { createEventTimings } from '../src/admission/event-timings.js';

describe("timeout of a stream's first event", () => {
  it('is well above a pass when first events come soon', () => {
    const timings = createEventTimings(createManualClock());
    expect(timings.firstEventTimeoutMs()).to.equal(900);
    for (let n = 0; n < 40; n += 1) timings.recordFirstEvent(200 + (n % 5) * 40);
    expect(timings.firstEventTimeoutMs()).to.equal(900);
  });

  // When a group is full, requests queue and first events take up to 1.4 s at every upstream. With a fixed timeout of
  // 900 ms, each attempt was cut off and sent to the end of another queue until its attempts were spent.
  it('grows when requests queue at all upstreams', () => {
    const timings = createEventTimings(createManualClock());
    for (let n = 0; n < 40; n += 1) timings.recordFirstEvent(500 + (n % 10) * 100);
    expect(timings.firstEventTimeoutMs()).to.be.greaterThan(1_400);
  });

  // Every wait beyond the timeout is cut off, so that no first event shows how long they take by now.
  it('grows although all waits are cut off by the timeout', () => {
    const timings = createEventTimings(createManualClock());
    for (let n = 0; n < 40; n += 1) timings.recordFirstEvent(300);
    for (let n = 0; n < 8; n += 1) timings.recordTimeout(timings.firstEventTimeoutMs() + 150);
    expect(timings.firstEventTimeoutMs()).to.be.greaterThan(1_400);
  });

  it('grows by at most a third, and briefly, when one upstream of many is dead', () => {
    const timings = createEventTimings(createManualClock());
    const recordFirstEvents = (count: number): void => {
      for (let n = 0; n < count; n += 1) timings.recordFirstEvent(250 + (n % 4) * 50);
    };
    for (let dead = 0; dead < 5; dead += 1) {
      recordFirstEvents(59);
      timings.recordTimeout(950);
      expect(timings.firstEventTimeoutMs()).to.be.below(1_200);
    }
    recordFirstEvents(10);
    expect(timings.firstEventTimeoutMs()).to.equal(900);
  });
});
