/**
 * Settings of `nutmeggauge-gate`, read from YAML and checked by zod.
 */
import {isIPv4} from 'node:net';
import {z} from 'zod';

/** True for an address that only this host can reach. */
function isLoopback(host: string): boolean {
  return isIPv4(host) && host.startsWith('127.');
}

export const RoutingPolicySchema = z.enum([
  'round-robin',
  'least-outstanding',
  'power-of-two',
  'token-load',
  'class-load',
]);

export const GateSettingsSchema = z.object({
  /** Name of this gate in logs and request ids. */
  id: z.string().min(1),
  /** Availability zone of this entry host. */
  zone: z.string().min(1),
  /** Where callers reach the HTTP API. */
  listen: z.object({
    host: z.string().min(1).default('127.0.0.1'),
    port: z.number().int().min(0).max(65535),
  }),
  configService: z.object({
    url: z.url(),
    /** How long one watch waits, in ms. */
    waitMs: z.number().int().positive().default(25_000),
  }),
  /** The platform's host list; optional. */
  hostList: z
    .object({
      url: z.url(),
      /** Period between reads, in ms. */
      pollMs: z.number().int().positive().default(1000),
    })
    .optional(),
  /** The administration API; absent means none. */
  admin: z
    .object({
      listen: z.object({
        host: z.string().min(1).default('127.0.0.1'),
        port: z.number().int().min(0).max(65535),
      }),
      /** Bearer token; may be left out on loopback only. */
      token: z.string().min(16).optional(),
    })
    .refine(
      admin => admin.token !== undefined || isLoopback(admin.listen.host),
      {path: ['token'], message: 'needed unless listen.host is 127.x.x.x'},
    )
    .optional(),
  /** Retries over all requests of this gate. */
  retryBudget: z
    .object({
      /** Retries that each request earns. */
      ratio: z.number().min(0).max(1).default(0.2),
      /** Retries that may be saved up. */
      burst: z.number().min(0).default(50),
    })
    .prefault({}),
  /** Exchange of records with other gates, for when the service is out of reach. */
  relay: z
    .object({
      /** Where other gates reach this one; an internal port. */
      listen: z.object({
        host: z.string().min(1).default('127.0.0.1'),
        port: z.number().int().min(0).max(65535),
      }),
      /** Relay addresses of some other gates, host:port. */
      peers: z.array(z.string().regex(/^[^:\s]+:\d{1,5}$/)).default([]),
      /** Period between two questions to a peer, in ms. */
      periodMs: z.number().int().positive().default(2000),
    })
    .optional(),
  routing: z
    .object({
      policy: RoutingPolicySchema.default('class-load'),
      /** Most targets one request is tried on. */
      maxAttempts: z.number().int().positive().default(3),
      /** Targets of each pool to keep links to; 0 for all. */
      subsetSize: z.number().int().min(0).default(0),
      /** Age of an agent's last report past which it gets no work, in ms. */
      heartbeatStaleMs: z.number().int().positive().default(2500),
      /**
       * Longest wait for an agent's receipt of a repeatable request before
       * it is sent to another target, in ms.
       */
      acceptTimeoutMs: z.number().int().positive().default(1000),
    })
    .prefault({}),
  /** Figures of the engines, for the admission estimate. */
  estimate: z
    .object({
      prefillTokensPerSecond: z.number().positive().default(400_000),
      decodeStepMs: z.number().positive().default(8),
      /** Refuses at once what no usable target can finish in its window. */
      refusesLate: z.boolean().default(true),
    })
    .prefault({}),
  /**
   * How long a gate that was told to stop still takes requests while
   * `/healthz` says 503, so that the balancer notices first, in ms.
   */
  drainNoticeMs: z.number().int().min(0).default(3000),
  /** Longest time a graceful shutdown waits for requests in flight, in ms. */
  drainTimeoutMs: z.number().int().positive().default(120_000),
});

export type GateSettings = z.output<typeof GateSettingsSchema>;
export type RoutingPolicy = z.output<typeof RoutingPolicySchema>;
