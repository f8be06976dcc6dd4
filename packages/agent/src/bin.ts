#!/usr/bin/env node
/**
 * `nutmeggauge-agent --config agent.yaml`: runs the agent beside one target.
 * SIGTERM drains (no new work, requests in flight finish) and exits 0.
 */
import meow from 'meow';
import {
  SettingsError,
  createLogger,
  loadSettings,
  setProcessName,
} from '@nutmeggauge/core';
import {createAgent} from './agent.js';
import {AgentSettingsSchema} from './settings.js';

const cli = meow(
  `
  Usage
    $ nutmeggauge-agent --config <file.yaml>

  Options
    --config, -c  YAML settings file (id, zone, listen, target, lanes)
`,
  {
    importMeta: import.meta,
    flags: {config: {type: 'string', shortFlag: 'c', isRequired: true}},
  },
);

try {
  const settings = loadSettings(AgentSettingsSchema, cli.flags.config);
  setProcessName(settings.id);
  const agent = createAgent(settings);
  await agent.start();
  const log = createLogger('agent');
  const stop = (signal: string) => {
    log.info('signal_received', {signal});
    void agent.drain().then(() => process.exit(0));
  };
  process.once('SIGTERM', () => stop('SIGTERM'));
  process.once('SIGINT', () => stop('SIGINT'));
} catch (error) {
  if (!(error instanceof SettingsError)) throw error;
  process.stderr.write(`nutmeggauge-agent: ${error.message}\n`);
  process.exit(2);
}
