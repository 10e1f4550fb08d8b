/** Updates that entries broadcast about requests that crash upstreams. Times are sent as ages, as VMs' clocks differ. */

import { isNumber, isObject } from '@plantaindrum/common';
import { readList } from '../mesh/read-list.js';
import { FINGERPRINT_CHARS } from './fingerprint.js';
import { isPart, isPartList } from './part-record.js';

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

/** Reports that an upstream ended while a request with these parts in its prompt was in flight there. */
export interface PartCrashReport extends CrashReport {
  sharedParts: string[];
  /** Node name of the entry that sent the request. */
  reporter: string;
}

/** Reports that a request with this part in its prompt has succeeded. */
export interface PartSuccessReport {
  part: string;
  agoMs: number;
}

/** Content of one note to a peer. */
export interface QuarantineUpdate {
  crashes: CrashReport[];
  quarantined: QuarantineReport[];
  sound: SuccessReport[];
  partCrashes: PartCrashReport[];
  soundParts: PartSuccessReport[];
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

const isPartCrash = (report: Record<string, unknown>): boolean =>
  isCrash(report) && isPartList(report.sharedParts) && typeof report.reporter === 'string';

/** Reads a list of reports that earlier versions don't send. */
const readNewerReports = <Entry>(
  value: unknown,
  isValid: (entry: Record<string, unknown>) => boolean,
): Entry[] | undefined =>
  value === undefined ? [] : readList(value, MAX_REPORTS_PER_NOTE, isValid);

/** Reads a quarantine update; undefined when the value isn't one. */
export const readQuarantineUpdate = (value: unknown): QuarantineUpdate | undefined => {
  if (!isObject(value)) return undefined;
  const crashes = readReports<CrashReport>(value.crashes, isCrash);
  const quarantined = readReports<QuarantineReport>(
    value.quarantined,
    ({ sinceAgoMs, leftMs }) => isAge(sinceAgoMs) && isAge(leftMs),
  );
  const sound = readReports<SuccessReport>(value.sound, ({ agoMs }) => isAge(agoMs));
  const partCrashes = readNewerReports<PartCrashReport>(
    value.partCrashes,
    (report) => isFingerprint(report.fingerprint) && isPartCrash(report),
  );
  const soundParts = readNewerReports<PartSuccessReport>(
    value.soundParts,
    ({ part, agoMs }) => isPart(part) && isAge(agoMs),
  );
  const { tried } = value;
  if (!Array.isArray(tried) || tried.length > MAX_REPORTS_PER_NOTE || !tried.every(isFingerprint)) {
    return undefined;
  }
  if (!crashes || !quarantined || !sound || !partCrashes || !soundParts) return undefined;
  return { crashes, quarantined, sound, partCrashes, soundParts, tried };
};
