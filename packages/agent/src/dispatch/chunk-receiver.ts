import type {ChunkNotification} from '@nutmeggauge/core';

/** Receives the chunks of one request. */
export type ChunkReceiver = (notice: ChunkNotification) => void;
