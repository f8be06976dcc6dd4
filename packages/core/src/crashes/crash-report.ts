/** Reports of crashes, as gates send them to each other. */
import {z} from 'zod';

/** Crash of one server under a request. */
const WireCrashSchema = z.object({
  /** Incarnation id of the server. */
  target: z.string(),
  ageMs: z.number().nonnegative(),
  /** Whether the run had just begun; absent if it had not. */
  early: z.literal(true).optional(),
  /** Whether the run had sent output; absent if it had not. */
  begun: z.literal(true).optional(),
  /** Time from the send of the request to the crash, in ms. */
  ranMs: z.number().nonnegative().optional(),
  /** Short name of the content of the request. */
  run: z.string().optional(),
  account: z.string().optional(),
});

/**
 * What a gate knows of one feature of requests. Ages are sent instead of times,
 * because the clocks of gates differ.
 */
export const CrashReportSchema = z.object({
  /** Id of the feature: the fingerprint of a content, or a part of prompts. */
  content: z.string(),
  crashes: z.array(WireCrashSchema),
  /** Age of the newest whole answer, in ms; absent if there was none. */
  answeredMs: z.number().nonnegative().optional(),
  /** Age of the newest begin of an answer, in ms. */
  begunMs: z.number().nonnegative().optional(),
  /** Age of the begin of the newest answer that outlived its begin, in ms. */
  lastedMs: z.number().nonnegative().optional(),
  /** Whether requests with this feature are refused. */
  refused: z.literal(true).optional(),
});
export type ReportedCrash = Readonly<z.output<typeof WireCrashSchema>>;
export type CrashReport = Readonly<z.output<typeof CrashReportSchema>>;

/** Several crash reports in one message. */
export const CrashReportsSchema = z.array(CrashReportSchema);
