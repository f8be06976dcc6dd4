import {spawnSync} from 'node:child_process';
import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {describe, it} from 'node:test';
import {expect} from 'earl';

const gateBin = fileURLToPath(
  new URL('bin.js', import.meta.resolve('@nutmeggauge/gate')),
);
const agentBin = fileURLToPath(
  new URL('bin.js', import.meta.resolve('@nutmeggauge/agent')),
);

function runWithSettings(
  bin: string,
  yaml: string,
): {status: number | null; stderr: string} {
  const dir = mkdtempSync(join(tmpdir(), 'ng-settings-'));
  const file = join(dir, 'settings.yaml');
  writeFileSync(file, yaml);
  const result = spawnSync(process.execPath, [bin, '--config', file], {
    encoding: 'utf8',
    timeout: 10_000,
  });
  return {status: result.status, stderr: result.stderr};
}

describe('settings file validation', () => {
  it('names the field and exits with status 2 when the port of a gate is not a number', () => {
    const result = runWithSettings(
      gateBin,
      'id: g\nzone: az-1\nlisten: {port: "eighty"}\nconfigService: {url: "http://127.0.0.1:1"}\n',
    );
    expect(result.status).toEqual(2);
    expect(result.stderr).toInclude('listen.port');
  });

  it('names the field and exits with status 2 when an agent has no target', () => {
    const result = runWithSettings(
      agentBin,
      'id: a\nzone: az-1\nlisten: {port: 0}\n',
    );
    expect(result.status).toEqual(2);
    expect(result.stderr).toInclude('target');
  });

  it('reports invalid YAML and exits with status 2', () => {
    const result = runWithSettings(gateBin, 'id: [unclosed\n');
    expect(result.status).toEqual(2);
    expect(result.stderr).toInclude('not valid YAML');
  });
});
