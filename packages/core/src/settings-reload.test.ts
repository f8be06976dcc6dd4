import {describe, it} from 'node:test';
import {expect} from 'earl';
import {SettingsError} from './errors.js';
import {SettingsReloader, listChangedKeys} from './settings-reload.js';

interface TestSettings {
  readonly [key: string]: unknown;
  readonly limit: number;
  readonly listen: {readonly host: string; readonly port: number};
}

const STARTED: TestSettings = {limit: 1, listen: {host: 'a', port: 1}};

/** Reloads each of `files` in turn; an error stands for an invalid file. */
function reloadAll(files: ReadonlyArray<TestSettings | Error>) {
  const logged: unknown[] = [];
  const applied: TestSettings[] = [];
  const pending = [...files];
  const reloader = new SettingsReloader<TestSettings>({
    settings: STARTED,
    load: () => {
      const file = pending.shift();
      if (file === undefined || file instanceof Error) throw file;
      return file;
    },
    task: {
      reloadableKeys: ['limit'],
      applySettings: settings => void applied.push(settings),
    },
    log: {
      info: (event, fields) => void logged.push({event, ...fields}),
      warn: (event, fields) => void logged.push({event, ...fields}),
    },
  });
  files.forEach(() => reloader.reload());
  return {logged, applied};
}

describe('listChangedKeys', () => {
  it('lists changed, added and removed keys of sections as dotted paths', () => {
    const before = {a: 1, b: {c: [1], d: 2}, e: {f: 1}};
    const after = {a: 1, b: {c: [2], d: 2}, g: 3};
    expect(listChangedKeys(before, after)).toEqual(['b.c', 'e', 'g']);
  });
});

describe('SettingsReloader', () => {
  it('applies the reloadable keys and names the changed keys that need a restart', () => {
    const changed = {limit: 2, listen: {host: 'a', port: 9}};
    const {logged, applied} = reloadAll([changed, changed]);
    // The listen address in force stays the one of the start.
    expect(applied[0]).toEqual({...STARTED, limit: 2});
    const event = 'settings_reloaded';
    expect(logged).toEqual([
      {event, applied: ['limit'], needRestart: ['listen.port']},
      // A pending restart is named again.
      {event, applied: [], needRestart: ['listen.port']},
    ]);
  });

  it('logs the error of an invalid file and leaves the settings in force unchanged', () => {
    // Guards against a bad file that ends the process or is applied in part.
    const bad = new SettingsError({}, 'x.yaml: limit: expected number');
    const {logged, applied} = reloadAll([bad]);
    expect(applied).toEqual([]);
    expect(logged).toEqual([
      {
        event: 'settings_reload_failed',
        code: 'settings_invalid',
        reason: 'x.yaml: limit: expected number',
      },
    ]);
  });
});
