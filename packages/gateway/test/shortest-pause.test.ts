import { expect } from 'chai';
import { shortestPause } from '../src/index.js';

const route = (service: string, targetPauseMs: number | undefined) => ({
  services: [
    { service, weight: 1 },
    { service: 'shared', weight: 1 },
  ],
  targetPauseMs,
});

describe('shortest target pause of a service', () => {
  // One pass produces the events of all streams of a group, so the route with the shortest target applies to all.
  it('is the minimum over all routes that lead to the service', () => {
    const routes = [route('writer', 150), route('writer', 120), route('desk', undefined)];
    const pauses = ['writer', 'desk', 'shared', undefined].map((of) => shortestPause(routes, of));
    expect(pauses).to.deep.equal([120, undefined, 120, undefined]);
  });
});
