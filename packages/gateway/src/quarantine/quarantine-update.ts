/** Updates that entries broadcast about requests that crash upstreams. Times are sent as ages, as VMs' clocks differ. */

import { isNumber, isObject } from '@plantaindrum/common';
import { readList } from '../mesh/read-list.js';
import { FINGERPRINT_CHARS } from './fingerprint.js';

/** Reports that an upstream ended while a request was in flight there. */
export interface CrashReport {
  fingerprint: string;
  instance: string;
  sentAgoMs: number;
  endedAgoMs: number;
}

/** Reports that a request is quarantined. */
export interface QuarantineReport {
  fingerprint: string;
  sinceAgoMs: number;
  leftMs: number;
}

/** Reports that a request has succeeded. */
export interface SuccessReport {
  fingerprint: string;
  agoMs: number;
}

/** Content of one note to a peer. */
export interface QuarantineUpdate {
  crashes: CrashReport[];
  quarantined: QuarantineReport[];
  sound: SuccessReport[];
  /** All suspect requests under trial at the sender; a trial that is no longer listed has ended. */
  tried: string[];
}

/** Max reports of each kind in one note: bounds the work that a peer can cause here. */
export const MAX_REPORTS_PER_NOTE = 256;

const fingerprintText = new RegExp(`^[0-9a-f]{${FINGERPRINT_CHARS}}$`);

const isFingerprint = (value: unknown): value is string =>
  typeof value === 'string' && fingerprintText.test(value);

const isAge = (value: unknown): value is number => isNumber(value) && value >= 0;

const readReports = <Entry>(
  value: unknown,
  isValid: (entry: Record<string, unknown>) => boolean,
): Entry[] | undefined =>
  readList(
    value,
    MAX_REPORTS_PER_NOTE,
    (entry) => isFingerprint(entry.fingerprint) && isValid(entry),
  );

/** Whether a value is a valid crash report. */
const isCrash = ({ instance, sentAgoMs, endedAgoMs }: Record<string, unknown>): boolean =>
  typeof instance === 'string' && isAge(sentAgoMs) && isAge(endedAgoMs) && sentAgoMs >= endedAgoMs;

/** Reads a quarantine update; undefined when the value isn't one. */
export const readQuarantineUpdate = (value: unknown): QuarantineUpdate | undefined => {
  if (!isObject(value)) return undefined;
  const crashes = readReports<CrashReport>(value.crashes, isCrash);
  const quarantined = readReports<QuarantineReport>(
    value.quarantined,
    ({ sinceAgoMs, leftMs }) => isAge(sinceAgoMs) && isAge(leftMs),
  );
  const sound = readReports<SuccessReport>(value.sound, ({ agoMs }) => isAge(agoMs));
  const { tried } = value;
  if (!Array.isArray(tried) || tried.length > MAX_REPORTS_PER_NOTE || !tried.every(isFingerprint)) {
    return undefined;
  }
  if (!crashes || !quarantined || !sound) return undefined;
  return { crashes, quarantined, sound, tried };
};
