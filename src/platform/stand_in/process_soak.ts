/**
 * A soak of entry hosts in processes of their own: a seeded schedule of signals, restarts and changes
 * that come in series and overlap, while callers submit jobs, and a check of what runs.
 */

import { setTimeout as delay } from "node:timers/promises";
import { createRandom } from "./fleet_simulation.ts";
import { HostProcess } from "./host_process.ts";
import { RestartingExecutors } from "./restarting_executors.ts";
import { type CutRequest, SoakCallers, type SoakSubmission } from "./soak_callers.ts";
import { StoreFault, StoreStandIn } from "./store_stand_in.ts";

const SERVICES = ["berthbook", "anchorline"];
/** The marks of the ids of jobs whose tasks run for good, and of jobs on a route that comes and goes. */
const LASTING_MARK = "f";
const PASSING_MARK = "e";
const TASKS = 4;
const TASK_MILLISECONDS = 700;
const JOB_INTERVAL_MILLISECONDS = 150;
/** One in this many jobs is long-running, and one is on the route that comes and goes. */
const SPECIAL_JOB_INTERVAL = 12;
const MAXIMUM_FAULT_INTERVAL_MILLISECONDS = 1_200;
const GRACE_MILLISECONDS = 4_000;
const RESTART_DELAY_MILLISECONDS = 300;
const MAXIMUM_PAUSE_MILLISECONDS = 4_000;
const MAXIMUM_MUTE_MILLISECONDS = 9_000;
const MAXIMUM_ENTRY_DELAY_MILLISECONDS = 1_500;
const MAXIMUM_STORE_OUTAGE_MILLISECONDS = 1_500;
/** How long after a disturbance a host counts as disturbed, in milliseconds. */
const CONTACT_MILLISECONDS = 3_000;
/** How long after the last fault each task must be done or at work, in milliseconds. */
const COMPLETION_TIMEOUT_MILLISECONDS = 45_000;

/** Options of a soak. */
export interface SoakOptions {
  /** The seed of the schedule. */
  seed: number;
  /** How long faults come, in milliseconds. */
  faultMilliseconds: number;
  /** The number of entry hosts, each a process. */
  hosts: number;
  /** The number of executors. */
  executors: number;
}

/** What a soak has found. */
export interface SoakResult {
  /** The broken promises. */
  violations: string[];
  /** The tasks of accepted jobs that were neither done nor at work in time. */
  open: string[];
  /** What was done, for the report. */
  counts: Record<string, number>;
}

/** Owns the stand-ins, the hosts and the schedule of one soak. */
export class ProcessSoak {
  readonly #options: SoakOptions;
  readonly #random: () => number;
  readonly #store: StoreStandIn;
  readonly #executors: RestartingExecutors;
  readonly #executorIds: string[] = [];
  readonly #hosts: HostProcess[] = [];
  /** The hosts that are being stopped, killed or started again. */
  readonly #restarting = new Set<HostProcess>();
  /** When the processes of each host were killed, paused or woken, on the monotonic clock. */
  readonly #disturbances: { host: string; at: number }[] = [];
  readonly #submissions: Promise<SoakSubmission>[] = [];
  readonly #disruptions: Promise<void>[] = [];
  readonly #counts: Record<string, number> = {};
  #version = 0;
  #service = 0;
  #hasPassingRoute = false;

  private constructor(options: SoakOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.#store = StoreStandIn.create();
    this.#executors = RestartingExecutors.create({
      store: this.#store,
      getRunMilliseconds: (task) => task.startsWith(LASTING_MARK) ? Infinity : TASK_MILLISECONDS,
    });
  }

  /** Plays a soak, and gets what it has found. */
  static async run(options: SoakOptions): Promise<SoakResult> {
    const soak = new ProcessSoak(options);
    try {
      return await soak.#play();
    } finally {
      await soak.#close();
    }
  }

  async #play(): Promise<SoakResult> {
    const store = await this.#store.listen();
    this.#publish();
    for (let number = 0; number < this.#options.executors; number += 1) {
      const id = `i-${number}`;
      this.#executorIds.push(id);
      await this.#executors.start({ id, service: SERVICES[number % SERVICES.length]! });
    }
    for (let number = 0; number < this.#options.hosts; number += 1) {
      const graceMilliseconds = GRACE_MILLISECONDS;
      this.#hosts.push(
        await HostProcess.create({ name: `front-${number}`, store, graceMilliseconds }),
      );
    }
    const callers = SoakCallers.create(this.#hosts, this.#random);
    const endsAt = performance.now() + this.#options.faultMilliseconds;
    await Promise.all([this.#submitJobs(callers, endsAt), this.#disturb(endsAt)]);
    await Promise.all(this.#disruptions);
    const submissions = await Promise.all(this.#submissions);
    const open = await this.#waitForTasks(submissions);
    callers.close();
    return {
      violations: [...this.#executors.violations, ...this.#findBrokenAnswers(submissions, callers)],
      open,
      counts: { ...this.#counts, ...callers.answers, jobs: submissions.length },
    };
  }

  async #submitJobs(callers: SoakCallers, endsAt: number): Promise<void> {
    for (let number = 0; performance.now() < endsAt; number += 1) {
      const kind = number % SPECIAL_JOB_INTERVAL;
      const isLasting = kind === 0;
      const isPassing = kind === 1 && this.#hasPassingRoute;
      const mark = isLasting ? LASTING_MARK : isPassing ? PASSING_MARK : "0";
      const id = mark + number.toString(16).padStart(15, "0");
      const step = { count: TASKS, cpu: 100, memMb: 10, estRuntimeMs: TASK_MILLISECONDS };
      const body = { taskSpec: "", steps: [{ ...step, longRunning: isLasting }] };
      this.#submissions.push(callers.submit(isPassing ? "/passing/" : "/berths/", id, body));
      await delay(JOB_INTERVAL_MILLISECONDS);
    }
  }

  async #disturb(endsAt: number): Promise<void> {
    const faults: Readonly<Record<string, () => Promise<void>>> = {
      "stops": () => this.#stopHosts([this.#chooseHost()]),
      "stops of all hosts": () => this.#stopHosts(this.#hosts),
      "kills": () => this.#killHost(this.#chooseHost()),
      "pauses": () => this.#pauseHost(this.#chooseHost()),
      "reloads": () => this.#reloadHost(this.#chooseHost()),
      "executor restarts": () => this.#restartExecutor(),
      "silent executor restarts": () =>
        this.#restartExecutor(this.#random() * MAXIMUM_MUTE_MILLISECONDS),
      "moves of the queue": () => this.#moveQueue(),
      "changes of routes": () => this.#toggleRoute(),
      "outages of the store": () => this.#refuseStoreCalls(),
    };
    const names = Object.keys(faults);
    while (performance.now() < endsAt) {
      const name = names[Math.floor(this.#random() * names.length)]!;
      this.#counts[name] = (this.#counts[name] ?? 0) + 1;
      this.#disruptions.push(faults[name]!());
      await delay(this.#random() * MAXIMUM_FAULT_INTERVAL_MILLISECONDS);
    }
  }

  /** Stops hosts as the platform does for planned work, one of two with a second signal. */
  async #stopHosts(hosts: readonly HostProcess[]): Promise<void> {
    await Promise.all(hosts.map(async (host) => {
      if (this.#restarting.has(host)) return;
      this.#restarting.add(host);
      host.signal("SIGTERM");
      await delay(this.#random() * RESTART_DELAY_MILLISECONDS);
      if (this.#random() < 0.5) host.signal("SIGTERM");
      const killed = setTimeout(() => {
        this.#recordDisturbance(host);
        host.signal("SIGKILL");
      }, GRACE_MILLISECONDS + MAXIMUM_PAUSE_MILLISECONDS);
      await host.waitForExit();
      clearTimeout(killed);
      await this.#startAgain(host);
    }));
  }

  async #killHost(host: HostProcess): Promise<void> {
    if (this.#restarting.has(host)) return;
    this.#restarting.add(host);
    this.#recordDisturbance(host);
    host.signal("SIGKILL");
    await host.waitForExit();
    await this.#startAgain(host);
  }

  async #startAgain(host: HostProcess): Promise<void> {
    await delay(RESTART_DELAY_MILLISECONDS);
    await host.restart();
    this.#restarting.delete(host);
  }

  async #pauseHost(host: HostProcess): Promise<void> {
    if (this.#restarting.has(host)) return;
    host.signal("SIGSTOP");
    this.#recordDisturbance(host);
    await delay(this.#random() * MAXIMUM_PAUSE_MILLISECONDS);
    host.signal("SIGCONT");
    this.#recordDisturbance(host);
  }

  #reloadHost(host: HostProcess): Promise<void> {
    if (!this.#restarting.has(host)) host.signal("SIGHUP");
    return Promise.resolve();
  }

  async #restartExecutor(muteMilliseconds = 0): Promise<void> {
    const id = this.#executorIds[Math.floor(this.#random() * this.#executorIds.length)]!;
    const entryDelayMilliseconds = this.#random() * MAXIMUM_ENTRY_DELAY_MILLISECONDS;
    await this.#executors.restart(id, { entryDelayMilliseconds, muteMilliseconds });
  }

  #moveQueue(): Promise<void> {
    this.#service = (this.#service + 1) % SERVICES.length;
    this.#publish();
    return Promise.resolve();
  }

  #toggleRoute(): Promise<void> {
    this.#hasPassingRoute = !this.#hasPassingRoute;
    this.#publish();
    return Promise.resolve();
  }

  async #refuseStoreCalls(): Promise<void> {
    this.#store.chooseFault = () => StoreFault.Busy;
    await delay(this.#random() * MAXIMUM_STORE_OUTAGE_MILLISECONDS);
    this.#store.chooseFault = () => StoreFault.None;
  }

  #publish(): void {
    this.#version += 1;
    const createRoute = (name: string, service: number) => ({
      name,
      host: "berths.example",
      pathPrefix: `/${name}/`,
      service: SERVICES[service],
      maxAttempts: 4,
      public: true,
    });
    this.#store.put("keyed.op", "config", {
      version: this.#version,
      routes: [
        createRoute("berths", this.#service),
        ...(this.#hasPassingRoute ? [createRoute("passing", 0)] : []),
      ],
      services: SERVICES.map((name) => ({ name })),
    });
  }

  #chooseHost(): HostProcess {
    return this.#hosts[Math.floor(this.#random() * this.#hosts.length)]!;
  }

  /** Waits until each task of the accepted jobs is done or, if it is long-running, at work. */
  async #waitForTasks(submissions: readonly SoakSubmission[]): Promise<string[]> {
    const tasks = submissions.filter(({ isAccepted }) => isAccepted).flatMap(({ id }) =>
      getTasks(id)
    );
    const until = performance.now() + COMPLETION_TIMEOUT_MILLISECONDS;
    const isOpen = (task: string) =>
      task.startsWith(LASTING_MARK)
        ? !this.#executors.isRunning(task)
        : !this.#executors.done.has(task);
    while (tasks.some(isOpen) && performance.now() < until) await delay(200);
    return tasks.filter(isOpen);
  }

  #findBrokenAnswers(submissions: readonly SoakSubmission[], callers: SoakCallers): string[] {
    const started = submissions.filter(({ id, isRefused }) =>
      isRefused && getTasks(id).some((task) => this.#executors.started.has(task))
    );
    return [
      ...started.map(({ id }) => `${id} was refused and has run`),
      ...callers.cuts.filter((cut) => this.#isPlanned(cut)).map(({ host, took }) =>
        `${host} ended a request without an answer ${took} ms after it was sent`
      ),
    ];
  }

  /** Gets whether no process of a request's host was killed or paused around it. */
  #isPlanned({ host, at, took }: CutRequest): boolean {
    const since = at - took - CONTACT_MILLISECONDS;
    return !this.#disturbances.some((other) =>
      other.host === host && other.at >= since && other.at <= at
    );
  }

  #recordDisturbance({ name }: HostProcess): void {
    this.#disturbances.push({ host: name, at: performance.now() });
  }

  async #close(): Promise<void> {
    for (const host of this.#hosts) await host.stop();
    this.#executors.close();
    this.#store.close();
  }
}

function getTasks(id: string): string[] {
  return Array.from({ length: TASKS }, (_, index) => `${id}.0.0.${index}`);
}
