import { expect } from 'chai';
import { createManualClock } from '@plantaindrum/common';
import { createEventTimings } from '../src/admission/pace.js';

describe('how long a stream is waited for', () => {
  it('is well above a pass where first events come soon', () => {
    const pace = createEventTimings(createManualClock());
    expect(pace.firstLimit()).to.equal(900);
    for (let n = 0; n < 40; n += 1) pace.noteFirst(200 + (n % 5) * 40);
    expect(pace.firstLimit()).to.equal(900);
  });

  // A group fills up: requests wait for a place, and first events take up to 1.4 s at every server. Each that had
  // waited 900 ms was cut off and sent anew elsewhere, to the end of another queue; its attempts were spent.
  it('grows where requests wait for a place at all upstreams', () => {
    const pace = createEventTimings(createManualClock());
    for (let n = 0; n < 40; n += 1) pace.noteFirst(500 + (n % 10) * 100);
    expect(pace.firstLimit()).to.be.greaterThan(1_400);
  });

  // Every wait beyond the limit is cut off, so no first event shows that they take longer by now.
  it('grows although all waits are cut off at the limit', () => {
    const pace = createEventTimings(createManualClock());
    for (let n = 0; n < 40; n += 1) pace.noteFirst(300);
    for (let n = 0; n < 8; n += 1) pace.noteNone(pace.firstLimit() + 150);
    expect(pace.firstLimit()).to.be.greaterThan(1_400);
  });

  it('grows by a third at most, and not for long, where one upstream of many is dead', () => {
    const pace = createEventTimings(createManualClock());
    const some = (count: number): void => {
      for (let n = 0; n < count; n += 1) pace.noteFirst(250 + (n % 4) * 50);
    };
    for (let dead = 0; dead < 5; dead += 1) {
      some(59);
      pace.noteNone(950);
      expect(pace.firstLimit()).to.be.below(1_200);
    }
    some(10);
    expect(pace.firstLimit()).to.equal(900);
  });
});
