#!/usr/bin/env node
/**
 * `nutmeggauge-gate --config gate.yaml`: runs the gate on an entry host. On
 * SIGTERM, the gate drains: it stops accepting requests, finishes those in
 * flight, and exits with code 0.
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
