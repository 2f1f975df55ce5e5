/**
 * A soak of entry hosts in processes of their own: a seeded schedule of signals, restarts and changes
 * that come in series and overlap, while callers submit jobs, and a check of what runs.
 */

import { setTimeout as delay } from "node:timers/promises";
import { createRandom } from "./fleet_simulation.ts";
import { RestartingExecutors } from "./restarting_executors.ts";
import type { HostLimits } from "./host_process.ts";
import { SoakCallers, type SoakSubmission } from "./soak_callers.ts";
import { SoakFault } from "./soak_fault.ts";
import { SoakHosts } from "./soak_hosts.ts";
import { type LinkEnds, SoakLinks } from "./soak_links.ts";
import { SoakStoreFaults } from "./soak_store_faults.ts";
import { StoreStandIn } from "./store_stand_in.ts";

const SERVICES = ["berthbook", "anchorline"];
/** The topics whose records the store may discard, except for the newest of each key. */
const KEYED_TOPICS = [
  "keyed.op",
  "keyed.servers",
  "keyed.claims",
  "keyed.journal",
  "keyed.status",
];
/** The mark of the ids of jobs whose tasks run for good. */
const LASTING_MARK = "f";
/** The mark of the ids of jobs on a route that comes and goes. */
const PASSING_MARK = "e";
/** The mark of the ids of repeating jobs. */
const REPEATING_MARK = "d";
const TASKS = 4;
const JOB_INTERVAL_MILLISECONDS = 150;
/** One in this many jobs is long-running, one on the route that comes and goes, one repeats. */
const SPECIAL_JOB_INTERVAL = 12;
const MAXIMUM_FAULT_INTERVAL_MILLISECONDS = 1_200;
/** The bound of the seeds that the schedule draws for its faults. */
const MAXIMUM_SEED = 2 ** 31;
const MAXIMUM_MUTE_MILLISECONDS = 9_000;
const MAXIMUM_ENTRY_DELAY_MILLISECONDS = 1_500;
const MAXIMUM_DRAIN_MILLISECONDS = 2_000;
const MAXIMUM_REMOVAL_DELAY_MILLISECONDS = 3_000;
/** The probability that an executor that leaves for good drains before. */
const DRAIN_PROBABILITY = 0.5;
/** How long a loss of power waits for the next acceptance of a job, in milliseconds. */
const ACCEPTANCE_TIMEOUT_MILLISECONDS = 2_000;
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
  /** The resources that the hosts' settings state, given out in turn; equal ones if unset. */
  hostLimits?: readonly HostLimits[] | undefined;
  /** The memory for an owner's jobs on the hosts, in turn, in bytes; the default if unset. */
  ownerJobBytes?: readonly number[] | undefined;
  /** The number of executors. */
  executors: number;
  /** The number of occurrences of repeating jobs, all of which are due; none repeats if it is 0. */
  repeats: number;
  /** How long a task takes that is not long-running, in milliseconds. */
  taskMilliseconds: number;
  /** The kinds of faults that come, as named in `SoakFault`; all if unset. */
  faults?: readonly SoakFault[] | undefined;
  /** Called with what the hosts have logged, if a promise was broken. */
  onBroken?: (lines: readonly string[]) => void;
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
  readonly #store: StoreStandIn;
  readonly #storeFaults: SoakStoreFaults;
  readonly #links = SoakLinks.create();
  readonly #executors: RestartingExecutors;
  readonly #executorIds: string[] = [];
  readonly #submissions: Promise<SoakSubmission>[] = [];
  readonly #disruptions: Promise<void>[] = [];
  readonly #counts: Record<string, number> = {};
  /** The faults that came, as lines beside those of the hosts. */
  readonly #lines: string[] = [];
  #hosts: SoakHosts | undefined;
  #executorCount = 0;
  #version = 0;
  #service = 0;
  #hasPassingRoute = false;

  private constructor(options: SoakOptions) {
    this.#options = options;
    this.#store = StoreStandIn.create();
    this.#storeFaults = SoakStoreFaults.create(this.#store, createRandom(options.seed + 2));
    this.#executors = RestartingExecutors.create({
      store: this.#store,
      links: this.#links,
      getRunMilliseconds: (task) =>
        task.startsWith(LASTING_MARK) ? Infinity : options.taskMilliseconds,
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
      const id = this.#createExecutorId();
      this.#executorIds.push(id);
      await this.#executors.start({ id, service: SERVICES[number % SERVICES.length]! });
    }
    const { seed, hosts: hostCount, hostLimits, ownerJobBytes, faultMilliseconds } = this.#options;
    const hosts = await SoakHosts.create(hostCount, { store, limits: hostLimits, ownerJobBytes });
    this.#hosts = hosts;
    const callers = SoakCallers.create(hosts.hosts, createRandom(seed + 1));
    const endsAt = performance.now() + faultMilliseconds;
    await Promise.all([this.#submitJobs(callers, endsAt), this.#disturb(hosts, callers, endsAt)]);
    await Promise.all(this.#disruptions);
    const submissions = await Promise.all(this.#submissions);
    const open = await this.#waitForTasks(submissions);
    callers.close();
    const violations = [
      ...this.#executors.history.violations,
      ...this.#findRefusedRuns(submissions),
      ...callers.cuts.filter((cut) => hosts.isPlanned(cut)).map((cut) => {
        const disturbed = hosts.getOtherDisturbed(cut).join(", ") || "none";
        return `${cut.host} ended a request without an answer ${cut.took} ms after it was sent` +
          ` (others that were killed or paused: ${disturbed})`;
      }),
    ];
    if (violations.length + open.length > 0) {
      this.#options.onBroken?.([...this.#lines, ...hosts.getLines()]);
    }
    return {
      violations,
      open,
      counts: {
        ...this.#counts,
        ...this.#links.counts,
        ...this.#storeFaults.counts,
        ...callers.answers,
        jobs: submissions.length,
        handOversDecided: hosts.countEvents("hand-over-decided"),
        handOversFailed: hosts.countEvents("hand-over-failed"),
        delayedOccurrences: hosts.countEvents("occurrences-delayed"),
      },
    };
  }

  async #submitJobs(callers: SoakCallers, endsAt: number): Promise<void> {
    const { repeats, taskMilliseconds } = this.#options;
    for (let number = 0; performance.now() < endsAt; number += 1) {
      const mark = this.#getMark(number);
      const id = mark + number.toString(16).padStart(15, "0");
      const step = { count: TASKS, cpu: 100, memMb: 10, estRuntimeMs: taskMilliseconds };
      const schedule = { repeats, firstRunMs: Date.now() - repeats, intervalMs: 1 };
      const body = {
        taskSpec: "",
        steps: [{ ...step, longRunning: mark === LASTING_MARK }],
        ...(mark === REPEATING_MARK ? schedule : {}),
      };
      this.#submissions.push(
        callers.submit(mark === PASSING_MARK ? "/passing/" : "/berths/", id, body),
      );
      await delay(JOB_INTERVAL_MILLISECONDS);
    }
  }

  /** Gets the mark of the job with a number. */
  #getMark(number: number): string {
    switch (number % SPECIAL_JOB_INTERVAL) {
      case 0:
        return LASTING_MARK;
      case 1:
        return this.#hasPassingRoute ? PASSING_MARK : "0";
      case 2:
        return this.#options.repeats > 0 ? REPEATING_MARK : "0";
      default:
        return "0";
    }
  }

  /** Starts faults that overlap. Each has a random source of its own, so that the seed decides. */
  async #disturb(hosts: SoakHosts, callers: SoakCallers, endsAt: number): Promise<void> {
    const faults: Readonly<Record<SoakFault, (random: () => number) => Promise<void>>> = {
      [SoakFault.Stop]: (random) => hosts.stop([hosts.choose(random)], random),
      [SoakFault.StopOfAllHosts]: (random) => hosts.stop(hosts.hosts, random),
      [SoakFault.Kill]: (random) => hosts.kill(hosts.choose(random)),
      [SoakFault.Pause]: (random) => hosts.pause(hosts.choose(random), random),
      [SoakFault.Reload]: (random) => hosts.reload(hosts.choose(random)),
      [SoakFault.ExecutorRestart]: (random) => this.#restartExecutor(random, 0),
      [SoakFault.SilentExecutorRestart]: (random) =>
        this.#restartExecutor(random, random() * MAXIMUM_MUTE_MILLISECONDS),
      [SoakFault.QueueMove]: () => this.#moveQueue(),
      [SoakFault.RouteChange]: () => this.#toggleRoute(),
      [SoakFault.StoreOutage]: (random) => this.#storeFaults.refuse(random),
      [SoakFault.LateOrders]: (random) =>
        this.#links.delayOrders(this.#chooseLinks(hosts, random), random),
      [SoakFault.LinkCut]: (random) => this.#links.cut(this.#chooseLinks(hosts, random), random),
      [SoakFault.StoreLoss]: (random) =>
        this.#storeFaults.lose(SoakLinks.choosePart(hosts.getSourceAddresses(), random), random),
      [SoakFault.Compaction]: () => this.#compactTopics(),
      [SoakFault.PowerLoss]: () => this.#cutPower(hosts, callers),
      [SoakFault.ExecutorReplacement]: (random) => this.#replaceExecutor(random, false),
      [SoakFault.AddressTakeOver]: (random) => this.#replaceExecutor(random, true),
    };
    const names = this.#options.faults ?? Object.values(SoakFault);
    const schedule = createRandom(this.#options.seed);
    while (performance.now() < endsAt) {
      const name = names[Math.floor(schedule() * names.length)]!;
      this.#counts[name] = (this.#counts[name] ?? 0) + 1;
      this.#lines.push(`soak time=${new Date().toISOString()} fault="${name}"`);
      const random = createRandom(Math.floor(schedule() * MAXIMUM_SEED));
      this.#disruptions.push(faults[name]!(random));
      await delay(schedule() * MAXIMUM_FAULT_INTERVAL_MILLISECONDS);
    }
  }

  async #restartExecutor(random: () => number, muteMilliseconds: number): Promise<void> {
    const id = this.#executorIds[Math.floor(random() * this.#executorIds.length)]!;
    const entryDelayMilliseconds = random() * MAXIMUM_ENTRY_DELAY_MILLISECONDS;
    await this.#executors.restart(id, { entryDelayMilliseconds, muteMilliseconds });
  }

  /** Has an executor leave for good. No other fault chooses it from then on. */
  async #replaceExecutor(random: () => number, keepsAddress: boolean): Promise<void> {
    const index = Math.floor(random() * this.#executorIds.length);
    const [id] = this.#executorIds.splice(index, 1);
    if (id === undefined) return;
    const replacement = {
      id: this.#createExecutorId(),
      drainMilliseconds: random() < DRAIN_PROBABILITY ? random() * MAXIMUM_DRAIN_MILLISECONDS : 0,
      removalDelayMilliseconds: random() * MAXIMUM_REMOVAL_DELAY_MILLISECONDS,
      entryDelayMilliseconds: random() * MAXIMUM_ENTRY_DELAY_MILLISECONDS,
      keepsAddress,
    };
    await this.#executors.replace(id, replacement);
    this.#executorIds.push(replacement.id);
  }

  #createExecutorId(): string {
    const id = `i-${this.#executorCount}`;
    this.#executorCount += 1;
    return id;
  }

  #chooseLinks(hosts: SoakHosts, random: () => number): LinkEnds {
    return {
      hosts: SoakLinks.choosePart(hosts.getSourceAddresses(), random),
      executors: SoakLinks.choosePart(this.#executorIds, random),
    };
  }

  #compactTopics(): Promise<void> {
    for (const topic of KEYED_TOPICS) this.#store.compact(topic);
    return Promise.resolve();
  }

  /** Kills all hosts right after a job was accepted. */
  async #cutPower(hosts: SoakHosts, callers: SoakCallers): Promise<void> {
    await Promise.race([callers.waitForAcceptance(), delay(ACCEPTANCE_TIMEOUT_MILLISECONDS)]);
    await hosts.killAll();
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

  /** Waits until each task of the accepted jobs is done or, if it is long-running, at work. */
  async #waitForTasks(submissions: readonly SoakSubmission[]): Promise<string[]> {
    const tasks = submissions.filter(({ isAccepted }) => isAccepted).flatMap(({ id }) =>
      this.#getTasks(id)
    );
    const until = performance.now() + COMPLETION_TIMEOUT_MILLISECONDS;
    const isOpen = (task: string) =>
      task.startsWith(LASTING_MARK)
        ? !this.#executors.history.isRunning(task)
        : !this.#executors.history.isDone(task);
    while (tasks.some(isOpen) && performance.now() < until) await delay(200);
    return tasks.filter(isOpen);
  }

  #getTasks(id: string): string[] {
    const occurrences = id.startsWith(REPEATING_MARK) ? this.#options.repeats : 1;
    return Array.from(
      { length: occurrences * TASKS },
      (_, number) => `${id}.${Math.floor(number / TASKS)}.0.${number % TASKS}`,
    );
  }

  #findRefusedRuns(submissions: readonly SoakSubmission[]): string[] {
    return submissions
      .filter(({ id, isRefused }) =>
        isRefused && this.#getTasks(id).some((task) => this.#executors.history.isStarted(task))
      )
      .map(({ id }) => `${id} was refused and has run`);
  }

  async #close(): Promise<void> {
    await this.#hosts?.close();
    this.#executors.close();
    this.#store.close();
  }
}
