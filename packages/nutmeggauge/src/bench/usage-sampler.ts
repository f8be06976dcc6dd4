/**
 * Samples CPU time and memory of a cluster's processes under load, as the
 * operating system reports them.
 */
import pidusage from 'pidusage';

/** Resource usage of the processes of one role. */
export interface RoleUsage {
  readonly processes: number;
  /** Mean CPU usage of one process as a share of one core, 0 to 1. */
  readonly coreShare: number;
  /** Largest resident memory of any one process, in MB. */
  readonly peakMb: number;
}

const SAMPLE_MS = 1000;
const BYTES_PER_MB = 1024 * 1024;

/** Returns the role of a process by its name; undefined for stand-ins. */
function findRole(name: string): string | undefined {
  if (name.startsWith('gate-')) return 'gate';
  if (name.startsWith('agent-')) return 'agent';
  return undefined;
}

/**
 * Samples resource usage of gates and agents between `start` and `finish`.
 *
 * @example
 * const sampler = new UsageSampler(cluster.listPids());
 * await sampler.start();
 * const usage = await sampler.finish(); // {gate: {coreShare: 0.2, ...}}
 */
export class UsageSampler {
  private readonly roles: ReadonlyMap<number, string>;
  private readonly cpuMsAtStart = new Map<number, number>();
  private readonly cpuMs = new Map<number, number>();
  private readonly peakBytes = new Map<number, number>();
  private startedAt = 0;
  private timer: NodeJS.Timeout | undefined;

  constructor(pids: ReadonlyMap<string, number>) {
    this.roles = new Map(
      [...pids].flatMap(([name, pid]) => {
        const role = findRole(name);
        return role === undefined ? [] : [[pid, role] as const];
      }),
    );
  }

  async start(): Promise<void> {
    await this.sample();
    for (const [pid, ms] of this.cpuMs) this.cpuMsAtStart.set(pid, ms);
    this.startedAt = performance.now();
    this.timer = setInterval(() => void this.sample(), SAMPLE_MS);
  }

  async finish(): Promise<Readonly<Record<string, RoleUsage>>> {
    clearInterval(this.timer);
    await this.sample();
    const elapsedMs = performance.now() - this.startedAt;
    const names = [...new Set(this.roles.values())];
    return Object.fromEntries(
      names.map(name => [name, this.summarizeRole(name, elapsedMs)]),
    );
  }

  private summarizeRole(role: string, elapsedMs: number): RoleUsage {
    const pids = [...this.roles].filter(([, r]) => r === role).map(([p]) => p);
    const usedMs = pids.reduce(
      (sum, pid) =>
        sum + (this.cpuMs.get(pid) ?? 0) - (this.cpuMsAtStart.get(pid) ?? 0),
      0,
    );
    const peaks = pids.map(pid => this.peakBytes.get(pid) ?? 0);
    return {
      processes: pids.length,
      coreShare: usedMs / elapsedMs / Math.max(1, pids.length),
      peakMb: Math.max(0, ...peaks) / BYTES_PER_MB,
    };
  }

  private async sample(): Promise<void> {
    await Promise.all(
      [...this.roles.keys()].map(async pid => {
        try {
          const {ctime, memory} = await pidusage(pid);
          this.cpuMs.set(pid, ctime);
          const peak = Math.max(memory, this.peakBytes.get(pid) ?? 0);
          this.peakBytes.set(pid, peak);
        } catch {
          // A fault killed the process; the values of its last sample remain.
        }
      }),
    );
  }
}
