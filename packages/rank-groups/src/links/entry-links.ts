/**
 * Links from an agent to the entries, shared by all kinds of notes that the agent sends them. They
 * exist only while there is something to send: permanent links would cost a heartbeat for each pair
 * of agent and entry.
 */

import type { Clock, Metrics, Random } from '@plantaindrum/common';
import { silentLogger } from '@plantaindrum/common';
import { createLinkClient, defaultLinkLimits } from '@plantaindrum/link';
import type { Link, LinkClient } from '@plantaindrum/link';
import type { NodeRecord } from '@plantaindrum/mirror';
import { agentIdentity } from './identity.js';

/** Reads the arguments of a note when it is sent; undefined when there is nothing to send. */
export type ReadNoteArgs = () => Readonly<Record<string, unknown>> | undefined;

/** Sends one kind of note to the entries. */
export interface EntryChannel {
  /** Sends a note to all entries, and to each one that links later, until `release`. */
  send(readArgs: ReadNoteArgs): void;
  /** Ends the need for links; they are closed when no channel needs them. */
  release(): void;
}

/** Links of one agent to the entries. */
export interface EntryLinks {
  /** Returns the channel for notes of a method. */
  channel(method: string): EntryChannel;
  /** Links to entries that the registry shows since the last note, if a channel is in use. */
  update(): void;
  close(): Promise<void>;
}

/** Options of `createEntryLinks`. */
export interface EntryLinksOptions {
  self: NodeRecord;
  region: string;
  nodes: () => readonly NodeRecord[];
  clock: Clock;
  random: Random;
  metrics: Metrics;
}

/**
 * Delays between attempts to link, in ms. After a loss of all processes each entry has to learn the
 * state of a group at once, and several agents try: with delays of up to 200 ms, the first of six
 * links about 30 ms after the entry has started.
 */
const BACKOFF = { firstMs: 50, maxMs: 200 };
/** An attempt to reach a VM that is still down is given up after 400 ms, as nothing answers it. */
const LIMITS = { ...defaultLinkLimits, helloTimeoutMs: 400 };

/** Creates the links; none is opened before a channel sends. */
export const createEntryLinks = (options: EntryLinksOptions): EntryLinks => {
  const { self, nodes, clock, random, metrics } = options;
  const clients = new Map<string, LinkClient>();
  const latest = new Map<string, ReadNoteArgs>();

  const sendNote = (link: Link, method: string): void => {
    const args = latest.get(method)?.();
    if (args) link.send({ t: 'note', method, args });
  };

  const connectTo = ({ host, port }: NodeRecord): LinkClient =>
    createLinkClient({
      connect: { host, port },
      identity: agentIdentity(self, options.region),
      intentOffset: () => -1,
      limits: LIMITS,
      handlers: {},
      onLink: (link) => {
        [...latest.keys()].forEach((method) => sendNote(link, method));
        return () => {};
      },
      backoff: BACKOFF,
      random,
      clock,
      metrics,
      log: silentLogger,
    });

  const closeAll = async (): Promise<void> => {
    const all = [...clients.values()];
    clients.clear();
    await Promise.all(all.map((client) => client.close()));
  };

  const connectToEntries = (): void => {
    const entries = new Map(
      nodes()
        .filter(({ role }) => role === 'entry')
        .map((record) => [`${record.host}:${record.port}`, record]),
    );
    [...clients].forEach(([key, client]) => {
      if (entries.has(key)) return;
      clients.delete(key);
      void client.close();
    });
    entries.forEach((record, key) => {
      if (!clients.has(key)) clients.set(key, connectTo(record));
    });
  };

  return {
    channel: (method) => ({
      send: (readArgs) => {
        latest.set(method, readArgs);
        connectToEntries();
        clients.forEach((client) => {
          const link = client.link();
          if (link) sendNote(link, method);
        });
      },
      release: () => {
        latest.delete(method);
        if (latest.size === 0 && clients.size > 0) void closeAll();
      },
    }),
    update: () => {
      if (latest.size > 0) connectToEntries();
    },
    close: closeAll,
  };
};
