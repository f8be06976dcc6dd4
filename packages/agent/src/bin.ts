#!/usr/bin/env node
/**
 * Entry point of `nutmeggauge-agent --config agent.yaml`: runs the agent of
 * one target. On SIGTERM the agent refuses new requests, waits for the requests
 * in flight and exits with code 0.
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
