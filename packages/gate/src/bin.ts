#!/usr/bin/env node
/**
 * `nutmeggauge-gate --config gate.yaml`: runs the gate on an entry host.
 * SIGTERM stops accepting, finishes requests in flight, and exits 0.
 */
import meow from 'meow';
import {
  SettingsError,
  createLogger,
  loadSettings,
  setProcessName,
} from '@nutmeggauge/core';
import {createGate} from './gate.js';
import {GateSettingsSchema} from './settings.js';

const cli = meow(
  `
  Usage
    $ nutmeggauge-gate --config <file.yaml>

  Options
    --config, -c  YAML settings file (id, zone, listen, configService, routing)
`,
  {
    importMeta: import.meta,
    flags: {config: {type: 'string', shortFlag: 'c', isRequired: true}},
  },
);

try {
  const settings = loadSettings(GateSettingsSchema, cli.flags.config);
  setProcessName(settings.id);
  const gate = createGate(settings);
  await gate.start();
  const log = createLogger('gate');
  const stop = (signal: string) => {
    log.info('signal_received', {signal});
    void gate.drain().then(() => process.exit(0));
  };
  process.once('SIGTERM', () => stop('SIGTERM'));
  process.once('SIGINT', () => stop('SIGINT'));
} catch (error) {
  if (!(error instanceof SettingsError)) throw error;
  process.stderr.write(`nutmeggauge-gate: ${error.message}\n`);
  process.exit(2);
}
