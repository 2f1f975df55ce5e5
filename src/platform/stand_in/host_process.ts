/** An entry host as a process of its own, started with the program of the deploy file. */

import { type ChildProcess, spawn } from "node:child_process";
import { randomInt } from "node:crypto";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { listen } from "../../links/listen.ts";

const PROGRAM = fileURLToPath(new URL("../../platform_main.js", import.meta.url));
const SOURCE_ADDRESS_MODULE = new URL("source_address.js", import.meta.url).href;
/** The bound of the two parts of a loopback address that are chosen. */
const LOOPBACK_PARTS = 250;
/** How many lines of a process that has ended are quoted. */
const QUOTED_LINES = 3;

/** The delay between two checks of a host's readiness, in milliseconds. */
const READINESS_CHECK_INTERVAL_MILLISECONDS = 50;

/** The resources that a host's settings state, as named there; the process itself isn't limited. */
export interface HostLimits {
  /** The number of cores. */
  cores?: number;
  /** The bandwidth of its link, in megabits per second. */
  linkMbps?: number;
  /** The memory, in megabytes. */
  memoryMb?: number;
  /** The number of descriptors. */
  maxFds?: number;
}

/** Options of a `HostProcess`. */
export interface HostProcessOptions {
  /** The host's name. */
  name: string;
  /** The address of the store. */
  store: string;
  /** How long a stop may take, in milliseconds; the program's default if unset. */
  graceMilliseconds?: number;
  /** The host's resources; the program's defaults if unset. */
  limits?: HostLimits | undefined;
  /** The limits for callers, as the settings file has them. */
  callerLimits?: Readonly<Record<string, number>>;
  /** Arguments of the runtime. */
  runtimeArguments?: readonly string[];
}

/** Owns the processes of an entry host, one at a time, and its settings file. */
export class HostProcess {
  /** The host's name. */
  readonly name: string;
  /** The address of the jobs API. */
  readonly callers: string;
  /** The address from which its processes connect to others. */
  readonly sourceAddress: string;
  /** The lines that its processes have logged. */
  readonly lines: string[] = [];
  readonly #readiness: string;
  readonly #folder: string;
  readonly #settingsPath: string;
  readonly #runtimeArguments: readonly string[];
  #process: ChildProcess;
  #exited: Promise<void>;

  private constructor(
    options: HostProcessOptions,
    ip: string,
    ports: readonly [number, number, number],
  ) {
    const [callers, ready, peers] = ports;
    this.name = options.name;
    // Not the address on which it listens: a connection could take a port there.
    this.sourceAddress = ip.replace(/1$/, "2");
    this.callers = `http://${ip}:${callers}`;
    this.#readiness = `http://${ip}:${ready}/-/readiness`;
    this.#folder = mkdtempSync(join(tmpdir(), "tanagerpin-"));
    this.#settingsPath = join(this.#folder, "local.yaml");
    const { graceMilliseconds, callerLimits } = options;
    this.#runtimeArguments = options.runtimeArguments ?? [];
    const settings = {
      node: options.name,
      ip,
      zone: "zl-a",
      listen: { front: `${ip}:${callers}`, ready: `${ip}:${ready}` },
      portRange: [peers, peers],
      limits: options.limits ?? {},
      ...(callerLimits === undefined ? {} : { callerLimits }),
      bounds: {
        stopMs: 100,
        ...(graceMilliseconds === undefined ? {} : { graceS: graceMilliseconds / 1_000 }),
      },
      platform: { addr: options.store },
    };
    // JSON is a subset of YAML.
    writeFileSync(this.#settingsPath, JSON.stringify(settings));
    [this.#process, this.#exited] = this.#spawn();
  }

  /** Starts a host, and waits until it is ready. */
  static async create(options: HostProcessOptions): Promise<HostProcess> {
    const ip = chooseAddress();
    const [callers, ready, peers] = await getFreePorts(ip, 3);
    const host = new HostProcess(options, ip, [callers!, ready!, peers!]);
    await host.#waitUntilReady();
    return host;
  }

  /** The id of the current process. */
  get processId(): number {
    return this.#process.pid!;
  }

  /** Sends a signal to the process, if it has not ended. */
  signal(signal: NodeJS.Signals): void {
    this.#process.kill(signal);
  }

  /** Waits for the end of the process, and gets its exit code; `null` if a signal ended it. */
  async waitForExit(): Promise<number | null> {
    await this.#exited;
    return this.#process.exitCode;
  }

  /** Starts the next process once the current one has ended, and waits until it is ready. */
  async restart(): Promise<void> {
    await this.#exited;
    [this.#process, this.#exited] = this.#spawn();
    await this.#waitUntilReady();
  }

  /** Kills the process, waits for its end and removes the settings file. */
  async stop(): Promise<void> {
    this.#process.kill("SIGKILL");
    await this.#exited;
    rmSync(this.#folder, { recursive: true, force: true });
  }

  #spawn(): [ChildProcess, Promise<void>] {
    const runtimeArguments = [...this.#runtimeArguments, "--import", SOURCE_ADDRESS_MODULE];
    const started = spawn(process.execPath, [...runtimeArguments, PROGRAM], {
      env: {
        ...process.env,
        TANAGERPIN_BOOT: this.#settingsPath,
        TANAGERPIN_SOURCE_ADDRESS: this.sourceAddress,
      },
      stdio: ["ignore", "pipe", "inherit"],
    });
    let rest = "";
    started.stdout.on("data", (bytes: Buffer) => {
      const lines = (rest + String(bytes)).split("\n");
      rest = lines.pop()!;
      this.lines.push(...lines);
    });
    const exited = new Promise<void>((resolve) => started.once("exit", () => resolve()));
    return [started, exited];
  }

  async #waitUntilReady(): Promise<void> {
    while (!await this.#isReady()) {
      await new Promise((resolve) => setTimeout(resolve, READINESS_CHECK_INTERVAL_MILLISECONDS));
    }
  }

  async #isReady(): Promise<boolean> {
    if (this.#process.exitCode !== null || this.#process.signalCode !== null) {
      const lines = this.lines.slice(-QUOTED_LINES).join("\n");
      throw new Error(`the process of ${this.name} has ended:\n${lines}`);
    }
    try {
      return (await fetch(this.#readiness)).status === 200;
    } catch {
      return false;
    }
  }
}

/**
 * Chooses a loopback address that no outgoing connection takes as its own: one of those could take a
 * port while no process of the host listens on it.
 */
function chooseAddress(): string {
  return `127.${randomInt(1, LOOPBACK_PARTS)}.${randomInt(1, LOOPBACK_PARTS)}.1`;
}

/** Gets different ports of an address that are free. */
async function getFreePorts(ip: string, count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const addresses = await Promise.all(
    servers.map((server) => listen(server, { host: ip, port: 0 })),
  );
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return addresses.map((address) => Number(address.split(":")[1]));
}
