/** Reasons for which a stream gets no engine. */
import type {NoRoom} from '../placement/prompt-request.js';

/**
 * Reason for which no engine was found: no slot is free (`full`), no engine can
 * run the prompt (`none`), the search was aborted (`left`), the choices of
 * earlier prompts take longer than the caller waits (`behind`), or the caller
 * leaves before engines can begin the prompt ({@link NoRoom}).
 */
export type NoSlotReason = 'full' | 'none' | 'left' | 'behind' | NoRoom;
