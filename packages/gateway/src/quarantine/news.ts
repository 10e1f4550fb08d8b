/** What entries tell each other of requests that crash upstreams. Times are ages: clocks of VMs differ. */

import { isNumber, isObject } from '@plantaindrum/common';
import { readList } from '../mesh/read-list.js';
import { FINGERPRINT_CHARS } from './fingerprint.js';

/** A request was under way at an upstream that ended. */
export interface CrashNews {
  fingerprint: string;
  instance: string;
  sentAgoMs: number;
  endedAgoMs: number;
}

/** A request is in quarantine. */
export interface QuarantineNews {
  fingerprint: string;
  sinceAgoMs: number;
  leftMs: number;
}

/** A request has run well. */
export interface SoundNews {
  fingerprint: string;
  agoMs: number;
}

/** One note to a peer. */
export interface News {
  crashes: CrashNews[];
  quarantined: QuarantineNews[];
  sound: SoundNews[];
  /** Suspect requests that are being tried here now; those that were named before and are not now have ended. */
  tried: string[];
}

/** Most entries of each kind in one note: a bound on what a peer can make this entry do. */
export const MOST_IN_NOTE = 256;

const fingerprintText = new RegExp(`^[0-9a-f]{${FINGERPRINT_CHARS}}$`);

const isFingerprint = (value: unknown): value is string =>
  typeof value === 'string' && fingerprintText.test(value);

const isAge = (value: unknown): value is number => isNumber(value) && value >= 0;

const listOf = <Entry>(
  value: unknown,
  isSound: (entry: Record<string, unknown>) => boolean,
): Entry[] | undefined =>
  readList(value, MOST_IN_NOTE, (entry) => isFingerprint(entry.fingerprint) && isSound(entry));

/** Whether a value is a crash as entries and records tell it. */
const isCrash = ({ instance, sentAgoMs, endedAgoMs }: Record<string, unknown>): boolean =>
  typeof instance === 'string' && isAge(sentAgoMs) && isAge(endedAgoMs) && sentAgoMs >= endedAgoMs;

/** Reads a note; undefined when it isn't one. */
export const readNews = (value: unknown): News | undefined => {
  if (!isObject(value)) return undefined;
  const crashes = listOf<CrashNews>(value.crashes, isCrash);
  const quarantined = listOf<QuarantineNews>(
    value.quarantined,
    ({ sinceAgoMs, leftMs }) => isAge(sinceAgoMs) && isAge(leftMs),
  );
  const sound = listOf<SoundNews>(value.sound, ({ agoMs }) => isAge(agoMs));
  const { tried } = value;
  if (!Array.isArray(tried) || tried.length > MOST_IN_NOTE || !tried.every(isFingerprint)) {
    return undefined;
  }
  if (!crashes || !quarantined || !sound) return undefined;
  return { crashes, quarantined, sound, tried };
};
