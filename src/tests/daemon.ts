/** A process of the program under test. */

import { type ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { createInterface } from "node:readline";
import { fileURLToPath } from "node:url";

/** The program. */
export const MAIN_PATH = fileURLToPath(new URL("../main.js", import.meta.url));

/** Gets the flags of a table of settings. */
export function toFlags(flags: Readonly<Record<string, string>>): string[] {
  return Object.entries(flags).flatMap(([name, value]) => [`--${name}`, value]);
}

/** A daemon that has told its addresses. */
export class Daemon {
  readonly #child: ChildProcess;
  readonly #addresses: Readonly<Record<string, string>>;
  readonly events: string[] = [];

  private constructor(child: ChildProcess, addresses: Record<string, string>) {
    this.#child = child;
    this.#addresses = addresses;
  }

  /** Starts a daemon and waits for its event `listening`. */
  static async start(parameters: readonly string[]): Promise<Daemon> {
    const environment = { ...process.env, TANAGERPIN_LOG_LEVEL: "info" };
    const child = spawn(process.execPath, [MAIN_PATH, ...parameters], {
      env: environment,
      stdio: ["ignore", "pipe", "inherit"],
    });
    const lines = createInterface({ input: child.stdout! });
    return await new Promise((resolve, reject) => {
      let daemon: Daemon | undefined;
      child.once("exit", (code) => reject(new Error(`${parameters.join(" ")} ended with ${code}`)));
      lines.on("line", (line) => {
        const pairs = line.split(" ").map((pair) => pair.split("="));
        const fields = Object.fromEntries(pairs) as Record<string, string>;
        daemon?.events.push(line);
        if (daemon !== undefined || fields["event"] !== "listening") return;
        daemon = new Daemon(child, fields);
        resolve(daemon);
      });
    });
  }

  /** Gets an address that the daemon listens on, by its name in the event. */
  getAddress(name: string): string {
    return this.#addresses[name] ?? "";
  }

  /** Gets the identity of the process in the system's table. */
  getProcessId(): number {
    return this.#child.pid ?? 0;
  }

  /** Stops the process in its tracks. */
  suspend(): void {
    this.#child.kill("SIGSTOP");
  }

  /** Lets a frozen process go on. */
  resume(): void {
    this.#child.kill("SIGCONT");
  }

  /** Ends the process without notice. */
  async kill(): Promise<void> {
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) return;
    const exited = once(this.#child, "exit");
    this.#child.kill("SIGKILL");
    await exited;
  }

  /** Asks the process to stop, and gets its exit code. */
  async stop(): Promise<number | null> {
    if (this.#child.exitCode !== null) return this.#child.exitCode;
    const exited = once(this.#child, "exit");
    this.#child.kill("SIGTERM");
    return (await exited)[0] as number | null;
  }
}
