/** Where the pieces of an answer go. */
import type {ChunkNotice} from '@nutmeggauge/core';

/** Receives the chunks of one request. */
export type ChunkReceiver = (notice: ChunkNotice) => void;
