import type {ChunkNotice} from '@nutmeggauge/core';

/** Callback that receives each chunk of one request's answer. */
export type ChunkReceiver = (notice: ChunkNotice) => void;
