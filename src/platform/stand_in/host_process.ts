/** An entry host as a process of its own, started with the program of the deploy file. */

import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { listen } from "../../links/listen.ts";

const PROGRAM = fileURLToPath(new URL("../../platform_main.js", import.meta.url));
const ADDRESS = "127.0.0.1";

/** Options of a `HostProcess`. */
export interface HostProcessOptions {
  /** The host's name. */
  name: string;
  /** The address of the store. */
  store: string;
}

/** Owns the process of an entry host and its settings file. */
export class HostProcess {
  /** The address of the jobs API. */
  readonly callers: string;
  /** The lines that the process has logged. */
  readonly lines: string[] = [];
  readonly #readiness: string;
  readonly #folder: string;
  readonly #process: ChildProcess;

  private constructor(options: HostProcessOptions, ports: readonly [number, number, number]) {
    const [callers, ready, peers] = ports;
    this.callers = `http://${ADDRESS}:${callers}`;
    this.#readiness = `http://${ADDRESS}:${ready}/-/readiness`;
    this.#folder = mkdtempSync(join(tmpdir(), "tanagerpin-"));
    const path = join(this.#folder, "local.yaml");
    const settings = {
      node: options.name,
      ip: ADDRESS,
      zone: "zl-a",
      listen: { front: `${ADDRESS}:${callers}`, ready: `${ADDRESS}:${ready}` },
      portRange: [peers, peers],
      limits: {},
      bounds: { stopMs: 100 },
      platform: { addr: options.store },
    };
    // JSON is a subset of YAML.
    writeFileSync(path, JSON.stringify(settings));
    this.#process = spawn(process.execPath, [PROGRAM], {
      env: { ...process.env, TANAGERPIN_BOOT: path },
      stdio: ["ignore", "pipe", "inherit"],
    });
    let rest = "";
    this.#process.stdout!.on("data", (bytes: Buffer) => {
      const lines = (rest + String(bytes)).split("\n");
      rest = lines.pop()!;
      this.lines.push(...lines);
    });
  }

  /** Starts a host, and waits until it is ready. */
  static async create(options: HostProcessOptions): Promise<HostProcess> {
    const ports = [await getFreePort(), await getFreePort(), await getFreePort()] as const;
    const host = new HostProcess(options, ports);
    while (!await host.#isReady()) await new Promise((resolve) => setTimeout(resolve, 50));
    return host;
  }

  /** Kills the process and waits for its end. */
  async stop(): Promise<void> {
    const exited = new Promise((resolve) => this.#process.once("exit", resolve));
    this.#process.kill("SIGKILL");
    await exited;
    rmSync(this.#folder, { recursive: true, force: true });
  }

  async #isReady(): Promise<boolean> {
    if (this.#process.exitCode !== null) throw new Error("the host's process has ended");
    try {
      return (await fetch(this.#readiness)).status === 200;
    } catch {
      return false;
    }
  }
}

async function getFreePort(): Promise<number> {
  const server = createServer();
  const address = await listen(server, { host: ADDRESS, port: 0 });
  await new Promise((resolve) => server.close(resolve));
  return Number(address.split(":")[1]);
}
