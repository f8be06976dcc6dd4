/** Reports of crashes, as gates send them to each other. */
import {z} from 'zod';

/** Crash of one server under a request. */
const WireCrashSchema = z.object({
  /** Incarnation id of the server. */
  target: z.string(),
  ageMs: z.number().nonnegative(),
  /** Whether the run had just begun; absent if it had not. */
  early: z.literal(true).optional(),
});

/**
 * What a gate knows of one content. Ages are sent instead of times, because the
 * clocks of gates differ.
 */
export const CrashReportSchema = z.object({
  /** Fingerprint of the requests. */
  content: z.string(),
  crashes: z.array(WireCrashSchema),
  /** Age of the newest whole answer, in ms; absent if there was none. */
  answeredMs: z.number().nonnegative().optional(),
  /** Whether requests with this content are refused. */
  refused: z.literal(true).optional(),
});
export type CrashReport = Readonly<z.output<typeof CrashReportSchema>>;

/** Several crash reports in one message. */
export const CrashReportsSchema = z.array(CrashReportSchema);
