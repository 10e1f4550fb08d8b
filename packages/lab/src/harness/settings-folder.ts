import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** A temporary folder for the settings files of child processes. */
export interface SettingsFolder {
  /** Writes a settings file and returns its path. */
  write(name: string, settings: unknown): string;
  remove(): void;
}

/** Creates a settings folder in the system's temporary folder. */
export const createSettingsFolder = (): SettingsFolder => {
  const folder = mkdtempSync(join(tmpdir(), 'plantaindrum-lab-'));
  return {
    write: (name, settings) => {
      const file = join(folder, `${name}.json`);
      writeFileSync(file, JSON.stringify(settings, undefined, 2));
      return file;
    },
    remove: () => rmSync(folder, { recursive: true, force: true }),
  };
};
