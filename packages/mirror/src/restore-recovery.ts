/** Fetches what a restored log has lost from the agents that mirror its topic. */

import type { Clock, EventLog } from '@plantaindrum/common';
import { sleep } from '@plantaindrum/common';
import { FIRST_GENERATION } from './keyed-mirror.js';
import type { PeerRecords } from './topic.js';

/** Recovery of one topic. */
export interface RestoreRecovery {
  /** Handles the generation of the log; fetches from the agents once for each restore. */
  handleGeneration(generation: number): void;
  close(): void;
}

/** Options of `createRestoreRecovery`. */
export interface RestoreRecoveryOptions {
  topic: string;
  /** Fetches the topic from the agents that mirror it; empty if none has answered. */
  fetch: (topic: string) => Promise<PeerRecords[]>;
  apply: (answer: PeerRecords) => void;
  clock: Clock;
  log: EventLog;
}

/** Interval of fetches until an agent answers, in ms: a node that starts doesn't know the agents yet. */
const RETRY_INTERVAL_MS = 250;
/** Time after which a fetch is given up, in ms: the agents are down as well. */
const TIMEOUT_MS = 10_000;

/** Creates the recovery of a node that has read no log yet. */
export const createRestoreRecovery = (options: RestoreRecoveryOptions): RestoreRecovery => {
  const { topic, clock, log } = options;
  let current = FIRST_GENERATION;
  let isClosed = false;

  const recover = async (generation: number): Promise<void> => {
    const deadline = clock.monotonic() + TIMEOUT_MS;
    let answers: PeerRecords[] = [];
    while (answers.length === 0 && clock.monotonic() < deadline) {
      answers = await options.fetch(topic);
      // A later restore has a recovery of its own.
      if (isClosed || generation !== current) return;
      if (answers.length === 0) await sleep(clock, RETRY_INTERVAL_MS);
    }
    log.event('agent-mirrors-read', { topic, generation, answers: answers.length });
    answers.forEach(options.apply);
  };

  return {
    handleGeneration: (generation) => {
      if (generation <= current) return;
      current = generation;
      void recover(generation);
    },
    close: () => {
      isClosed = true;
    },
  };
};
