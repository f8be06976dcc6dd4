/**
 * Settings of `nutmeggauge-gate`, read from YAML and validated with zod.
 */
import {isIPv4} from 'node:net';
import {z} from 'zod';

/** Returns true for an address that only this host can reach. */
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
  /** Id of this gate in logs and request ids. */
  id: z.string().min(1),
  /** Availability zone of this entry host. */
  zone: z.string().min(1),
  /** Address on which the gate listens for callers. */
  listen: z.object({
    host: z.string().min(1).default('127.0.0.1'),
    port: z.number().int().min(0).max(65535),
  }),
  configService: z.object({
    url: z.url(),
    /** Maximum wait of one long poll for a newer record, in ms. */
    waitMs: z.number().int().positive().default(25_000),
  }),
  /** The platform's host list; optional. */
  hostList: z
    .object({
      url: z.url(),
      /** Interval between reads of the host list, in ms. */
      pollMs: z.number().int().positive().default(1000),
    })
    .optional(),
  /** The administration API; disabled when absent. */
  admin: z
    .object({
      listen: z.object({
        host: z.string().min(1).default('127.0.0.1'),
        port: z.number().int().min(0).max(65535),
      }),
      /** Bearer token; optional on a loopback address only. */
      token: z.string().min(16).optional(),
    })
    .refine(
      admin => admin.token !== undefined || isLoopback(admin.listen.host),
      {path: ['token'], message: 'required unless listen.host is 127.x.x.x'},
    )
    .optional(),
  /**
   * Time for which a request is refused after targets have crashed under it, in
   * ms; the same for all agents and gates.
   */
  crashRefusalMs: z.number().int().positive().default(600_000),
  /** Memory that the process may use, in MB; a fifth of it holds what callers send. */
  memoryMb: z.number().positive().default(1024),
  /** Retry budget over all requests of this gate. */
  retryBudget: z
    .object({
      /** Retries added to the budget by each request. */
      ratio: z.number().min(0).max(1).default(0.2),
      /** Maximum number of unused retries in the budget. */
      burst: z.number().min(0).default(50),
    })
    .prefault({}),
  /**
   * Exchange of records with other gates while the configuration service is
   * unreachable.
   */
  relay: z
    .object({
      /** Address on which other gates connect to this one; an internal port. */
      listen: z.object({
        host: z.string().min(1).default('127.0.0.1'),
        port: z.number().int().min(0).max(65535),
      }),
      /** Relay addresses of some other gates, host:port. */
      peers: z.array(z.string().regex(/^[^:\s]+:\d{1,5}$/)).default([]),
      /** Interval between queries to each peer, in ms. */
      periodMs: z.number().int().positive().default(2000),
    })
    .optional(),
  routing: z
    .object({
      policy: RoutingPolicySchema.default('class-load'),
      /** Maximum number of targets that one request is sent to. */
      maxAttempts: z.number().int().positive().default(3),
      /** Number of targets of each pool to connect to; 0 for all. */
      subsetSize: z.number().int().min(0).default(0),
      /**
       * Age of an agent's last load report above which the agent gets no
       * requests, in ms.
       */
      heartbeatStaleMs: z.number().int().positive().default(2500),
      /**
       * Timeout for an agent's ack of a repeatable request, in ms. After the
       * timeout, the gate sends the request to another target.
       */
      acceptTimeoutMs: z.number().int().positive().default(1000),
    })
    .prefault({}),
  /** Engine speeds for the admission estimate. */
  estimate: z
    .object({
      prefillTokensPerSecond: z.number().positive().default(400_000),
      decodeStepMs: z.number().positive().default(8),
      /**
       * Whether to refuse a request at once if no usable target can meet its
       * deadline.
       */
      refusesLate: z.boolean().default(true),
    })
    .prefault({}),
  /**
   * Time for which a draining gate still accepts requests while `/healthz`
   * answers 503, in ms. The delay lets the load balancer stop sending first.
   */
  drainNoticeMs: z.number().int().min(0).default(3000),
  /**
   * Maximum time that a graceful shutdown waits for requests in flight, in ms.
   */
  drainTimeoutMs: z.number().int().positive().default(120_000),
});

export type GateSettings = z.output<typeof GateSettingsSchema>;
export type RoutingPolicy = z.output<typeof RoutingPolicySchema>;
