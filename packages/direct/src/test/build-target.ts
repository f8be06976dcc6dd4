/** Builders of positions and targets for tests. */
import {readPort} from '@nutmeggauge/core';
import {NO_POSITION} from '../fleet/fact-position.js';
import type {Server} from 'node:net';
import type {FactPosition} from '../fleet/fact-position.js';
import type {Target} from '../types.js';

/**
 * Builds a position, in the first era by default.
 *
 * @example
 * buildPosition(8);
 */
export function buildPosition(revision: number, era = 0): FactPosition {
  return {era, revision};
}

/**
 * Builds a target of the service `chat` whose name equals its incarnation id.
 */
export function buildTarget(
  id: string,
  revision: number,
  isDraining = false,
): Target {
  return {
    id,
    name: id,
    bornAt: undefined,
    service: 'chat',
    host: '10.0.0.1',
    port: 80,
    zone: 'az-1',
    isDraining,
    position: buildPosition(revision),
  };
}

/** Builds the entry of a target that listens on this machine. */
export function buildListeningTarget(
  id: string,
  service: string,
  server: Server,
): Target {
  return {
    ...buildTarget(id, 0),
    service,
    host: '127.0.0.1',
    port: readPort(server),
    position: NO_POSITION,
  };
}
