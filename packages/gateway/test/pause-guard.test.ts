import { expect } from 'chai';
import { createManualClock, silentEventLog } from '@plantaindrum/common';
import { createAdmission } from '../src/admission/admission.js';
import { createPaceMeter } from '../src/admission/pace.js';
import { streamsOnTime } from '../src/admission/pause-guard.js';
import type { GuardState } from '../src/admission/pause-guard.js';
import type { Upstream } from '../src/upstreams/upstream.js';

/** 63 engines near their limit; passes of 90 ms, of 140 after a shift, 120 wanted. */
const full: GuardState = {
  times: { stepMs: 4.84, perStreamMs: 0.8 },
  streams: 400,
  engines: 63,
  usualMs: 90,
  longMs: 140,
  targetMs: 120,
  lateShare: 0.8,
};

describe('limiting streams by their longest passes', () => {
  it('keeps most where nearly all are late', () => {
    expect(streamsOnTime(full)).to.be.within(250, 330);
  });

  it('leaves them alone where few are late, or passes are short', () => {
    expect(streamsOnTime({ ...full, lateShare: 0.3 })).to.equal(undefined);
    expect(streamsOnTime({ ...full, longMs: 115 })).to.equal(undefined);
  });

  // Most would be turned away, and those that are taken would still meet a long pass at the next shift.
  it('turns nobody away for passes that are long however few streams there are', () => {
    expect(streamsOnTime({ ...full, longMs: 300 })).to.equal(undefined);
  });
});

describe('the share of late streams', () => {
  it('is remembered for some seconds after it fell', async () => {
    const clock = createManualClock();
    const pace = createPaceMeter(clock);
    for (let n = 0; n < 60; n += 1) pace.noteStream(true);
    await clock.advance(1_000);
    for (let n = 0; n < 60; n += 1) pace.noteStream(false);
    expect(pace.lateShare()).to.be.above(0.7);
    await clock.advance(12_000);
    expect(pace.lateShare()).to.be.below(0.2);
  });
});

describe('admission in a group near its limit', () => {
  const upstream = { record: { slots: 7 }, total: () => 6, load: () => 6 / 7 };
  const upstreams = Array.from({ length: 63 }, () => upstream as unknown as Upstream);
  const request = {
    service: 's',
    targetPauseMs: 120,
    passTimes: full.times,
    maxConnections: 390,
    isReturn: false,
  };

  const admitted = async (longMs: number): Promise<boolean> => {
    const clock = createManualClock();
    const admission = createAdmission(clock, silentEventLog);
    const pace = admission.pace('s');
    admission.decide(request, upstreams);
    for (let n = 0; n < 30; n += 1) {
      pace.noteStream(longMs > 120);
      pace.notePause(n % 12 === 11 ? longMs : 90);
      await clock.advance(90);
    }
    return admission.decide(request, upstreams).admitted;
  };

  // A tenth more requests than the group bears on time: every stream would stutter at the next shift.
  it('sends some callers away while a shift makes all streams late', async () => {
    expect(await admitted(140)).to.equal(false);
  });

  it('takes all while the passes after a shift are on time', async () => {
    expect(await admitted(118)).to.equal(true);
  });
});
