#!/usr/bin/env node
/**
 * `nutmeggauge-gate --config gate.yaml`: runs the gate on an entry host.
 * SIGTERM stops accepting, finishes requests in flight, and exits 0.
 */
import {runDaemon} from '@nutmeggauge/core';
import {createGate} from './gate.js';
import {GateSettingsSchema} from './settings.js';

await runDaemon({
  name: 'nutmeggauge-gate',
  importMeta: import.meta,
  settingsHelp: 'id, zone, listen, configService, hostList, routing, estimate',
  schema: GateSettingsSchema,
  createTask: createGate,
});
