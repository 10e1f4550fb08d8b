import { EventEmitter, once } from 'node:events';
import type { Socket } from 'node:net';
import { expect } from 'chai';
import { frameBytes } from '../src/framing.js';
import { startIntake } from '../src/intake.js';

/** An intake over a socket whose events a test raises; notes what it does in order. */
const start = (take: (payload: string) => void | Promise<void> = () => {}) => {
  const notes: string[] = [];
  const events = new EventEmitter();
  const socket = Object.assign(events, {
    pause: () => notes.push('pause'),
    resume: () => notes.push('resume'),
  }) as unknown as Socket;
  const intake = startIntake({
    socket,
    frameBytes: 100,
    onBytes: () => {},
    take: (payload) => {
      notes.push(payload.toString());
      return take(payload.toString());
    },
    onFault: (fault) => notes.push(fault),
    onTakeFailed: (err) => notes.push(`failed ${String(err)}`),
    onEnd: (why) => notes.push(why),
    onOver: () => {
      notes.push('over');
      events.emit('over');
    },
  });
  const read = (...payloads: string[]): void => {
    const framed = payloads.map((payload) => frameBytes(Buffer.from(payload)));
    events.emit('data', Buffer.concat(framed));
  };
  return { notes, events, intake, read };
};

const turn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('taking what a link reads', () => {
  // Each frame passed through an iterator of the stream, a generator and their promises, which took
  // a third of the time that a beat costs.
  it('takes all frames of a read in the turn in which it comes in', () => {
    const { notes, read } = start();
    read('a', 'b');
    read('c');
    expect(notes).to.deep.equal(['a', 'b', 'c']);
  });

  it('holds the peer back and keeps the order while one frame is at work', async () => {
    let done = (): void => {};
    const { notes, read, intake } = start((payload) =>
      payload === 'a'
        ? new Promise((resolve) => {
            done = resolve;
          })
        : undefined,
    );
    read('a', 'b');
    read('c');
    await turn();
    expect(notes).to.deep.equal(['a', 'pause']);
    expect(intake.isBusy()).to.equal(true);
    done();
    await turn();
    expect(notes).to.deep.equal(['a', 'pause', 'resume', 'b', 'c']);
  });

  // A reply that came in just before the peer closed the link would be lost, and its call unknown.
  it('takes what was read before the peer closed, and ends only then', async () => {
    const { notes, read, events } = start((payload) => (payload === 'a' ? turn() : undefined));
    read('a', 'b');
    events.emit('end');
    events.emit('close');
    await once(events, 'over');
    expect(notes.filter((note) => note !== 'pause' && note !== 'resume')).to.deep.equal([
      'a',
      'b',
      'closed-by-peer',
      'over',
    ]);
  });

  it('takes nothing more once it is stopped', () => {
    const { notes, read, intake } = start(() => intake.stop());
    read('a', 'b');
    read('c');
    expect(notes).to.deep.equal(['a']);
  });

  it('tells a fault of a taker, thrown or rejected, and of the bytes', async () => {
    const { notes, read, events } = start((payload) => {
      if (payload === 'a') throw new Error('a');
      return payload === 'b' ? Promise.reject(new Error('b')) : undefined;
    });
    read('a', 'b');
    await turn();
    events.emit('data', Buffer.from([0, 0, 0, 0]));
    expect(notes.filter((note) => note !== 'pause' && note !== 'resume')).to.deep.equal([
      'a',
      'failed Error: a',
      'b',
      'failed Error: b',
      'malformed-frame',
    ]);
  });
});
