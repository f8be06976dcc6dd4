#!/usr/bin/env node
/**
 * `nutmeggauge-agent --config agent.yaml`: runs the agent beside one target.
 * SIGTERM drains (no new work, requests in flight finish) and exits 0.
 */
import {runDaemon} from '@nutmeggauge/core';
import {createAgent} from './agent.js';
import {AgentSettingsSchema} from './settings.js';

await runDaemon({
  name: 'nutmeggauge-agent',
  importMeta: import.meta,
  settingsHelp: 'id, zone, listen, target, configService, lanes, ledger',
  schema: AgentSettingsSchema,
  createTask: createAgent,
});
