import { setTimeout as delay } from "node:timers/promises";
import test, { type ExecutionContext } from "ava";
import { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { RunEnd } from "../fleet/run.ts";
import { type Answer, AnswerOutcome, CallKind } from "../front/call.ts";
import { OrderOutcome } from "../owner/owner_ports.ts";
import { type ExecutorPort, OwnerTask } from "../owner/owner_task.ts";
import type { Claim } from "../ownership/ownership_ports.ts";
import { RENEWAL_INTERVAL_MILLISECONDS } from "../ownership/ownership_task.ts";
import { createListedExecutor, createQueue, JOB_LIMITS } from "../stand_ins/fleet_fixtures.ts";
import { createStepSpecification } from "../stand_ins/step_fixtures.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { getRunOptions } from "../tests/run_options.ts";
import { ExecutorModel } from "./stand_in/executor_model.ts";
import { createRandom } from "./stand_in/fleet_simulation.ts";
import { LateStore, LateStoreFault } from "./stand_in/late_store.ts";
import { RunHistory } from "./stand_in/run_history.ts";
import { StoreStandIn } from "./stand_in/store_stand_in.ts";
import { StoreClient } from "./store_client.ts";
import { createJournalStore } from "./store_ports.ts";

/** How long owners follow each other in each run, in milliseconds. */
const SUCCESSION_MILLISECONDS = Number(process.env["TANAGERPIN_SOAK_MILLISECONDS"] ?? 12_000);
const EXECUTORS = ["i-1", "i-2", "i-3"].map((id) => createListedExecutor({ id, born: 1_000 }));
const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [createQueue()],
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 10_000,
});
/** Jobs of one step, of two, of a gang, and of a step whose done tasks are stored as bits. */
const STEPS = [
  [{ count: 4 }],
  [{ count: 2 }, { count: 2, after: [0] }],
  [{ count: 3, isGang: true }],
  [{ count: 300 }],
];
/** One job in this many has the last of the kinds above. */
const LARGE_JOB_INTERVAL = 40;
const LONGEST_LEASE_MILLISECONDS = 10_000;
const TASK_MILLISECONDS = 60;
const JOB_INTERVAL_MILLISECONDS = 60;
const RESUBMISSION_MILLISECONDS = 60;
const MINIMUM_TERM_MILLISECONDS = 300;
const MAXIMUM_TERM_MILLISECONDS = 2_500;
const MAXIMUM_OVERLAP_MILLISECONDS = 2_500;
const MAXIMUM_LATENESS_MILLISECONDS = 4_000;
const MAXIMUM_ORDER_MILLISECONDS = 12;
const COMPLETION_TIMEOUT_MILLISECONDS = 30_000;
/** A record is small, so that values are split. */
const LIMITS = { recordBytes: 600, callBytes: 2_097_152 };
/** The prefixes of keys that are no owner's, and how many there are of each, so that there are pages. */
const OTHER_PREFIXES = ["j/", "p/"];
const OTHER_KEYS = 600;
/** The bound of the seeds that are drawn from others. */
const MAXIMUM_SEED = 2 ** 31;
/** The probability that an owner hands over; otherwise its successor comes without notice. */
const HAND_OVER_PROBABILITY = 0.3;
const HAND_OVER_TIMEOUT_MILLISECONDS = 800;
/** The probability that the journal is compacted before an owner is followed. */
const COMPACTION_PROBABILITY = 0.5;
/** The probability that a request to the store meets each fault, while owners follow each other. */
const FAULT_PROBABILITY = 0.04;
const FAULTS = [
  LateStoreFault.Busy,
  LateStoreFault.Reset,
  LateStoreFault.AnswerLost,
  LateStoreFault.RequestLost,
  LateStoreFault.Late,
];

/** Executors that do not restart, and a history of their runs. */
class SteadyExecutors {
  readonly history = RunHistory.create();
  readonly #models = new Map<string, ExecutorModel>();
  readonly #random: () => number;
  readonly #timer: NodeJS.Timeout;

  private constructor(random: () => number) {
    this.#random = random;
    for (const { id, born } of EXECUTORS) {
      const model = ExecutorModel.create({
        capacity: { cpu: 0, memory: 0, accelerators: 0 },
        born,
        startedAt: performance.now(),
        stopMilliseconds: 20,
        startupMilliseconds: 20,
        planRun: () => ({ durationMilliseconds: TASK_MILLISECONDS, end: RunEnd.Done }),
        onStart: (run) => this.history.addStart(id, run),
        onEnd: (run, end) => this.history.addEnd(id, run, end),
        onAcknowledged: (end) => this.history.addAcknowledgement(id, end),
      });
      this.#models.set(id, model);
    }
    this.#timer = setInterval(() => {
      for (const model of this.#models.values()) model.advance(performance.now());
    }, 5);
  }

  /** Creates executors without runs. */
  static create(random: () => number): SteadyExecutors {
    return new SteadyExecutors(random);
  }

  /** Creates the port through which an owner reaches them; orders take a while each way. */
  createPort(): ExecutorPort {
    const send = async <Reply>({ id }: ExecutorEntry, act: (model: ExecutorModel) => Reply) => {
      await delay(this.#random() * MAXIMUM_ORDER_MILLISECONDS);
      const model = this.#models.get(id)!;
      const reply = act(model);
      const executorTime = model.getExecutorTime(performance.now());
      await delay(this.#random() * MAXIMUM_ORDER_MILLISECONDS);
      return { reply, executorTime };
    };
    const order = async (executor: ExecutorEntry, act: (model: ExecutorModel) => OrderOutcome) => {
      const { reply, executorTime } = await send(executor, act);
      return { outcome: reply, executorTime };
    };
    return {
      start: (start) => order(start.executor, (model) => model.start(start, performance.now())),
      stop: ({ executor, task, run, fence }) =>
        order(executor, (model) => model.stop(task, run, fence, performance.now())),
      pace: () => Promise.resolve({ outcome: OrderOutcome.Done }),
      poll: async (poll) => {
        const { reply } = await send(poll.executor, (model) => model.poll(poll, performance.now()));
        if (reply === undefined) return { outcome: OrderOutcome.Fenced };
        return { outcome: OrderOutcome.Done, acknowledged: poll.acknowledged, report: reply };
      },
    };
  }

  /** Stops the runs. */
  close(): void {
    clearInterval(this.#timer);
  }
}

/** Owners that follow each other; those who don't hand over go on for a while. */
class Succession {
  readonly executors: SteadyExecutors;
  readonly #random: () => number;
  readonly #clock = ElapsedClock.create();
  readonly #stores: StoreClient[] = [];
  readonly #owners: OwnerTask[] = [];
  readonly #timers: NodeJS.Timeout[] = [];
  readonly #address: string;
  #claim: Claim | undefined;
  #current: OwnerTask | undefined;

  private constructor(address: string, random: () => number) {
    this.#address = address;
    this.#random = random;
    this.executors = SteadyExecutors.create(createRandom(Math.floor(random() * MAXIMUM_SEED)));
  }

  /** Creates the executors of a succession, and its first owner. */
  static create(address: string, random: () => number): Succession {
    const succession = new Succession(address, random);
    succession.#open();
    return succession;
  }

  /** Has the next owner take over, after a hand-over or without one. */
  async succeed(): Promise<void> {
    const earlier = this.#current!;
    if (this.#random() < HAND_OVER_PROBABILITY) {
      const finished = new Promise<number>((resolve) => {
        if (!earlier.post({ kind: "hand-over", reply: resolve })) {
          resolve(LONGEST_LEASE_MILLISECONDS);
        }
      });
      const timedOut = delay(HAND_OVER_TIMEOUT_MILLISECONDS).then(() => LONGEST_LEASE_MILLISECONDS);
      const leaseMilliseconds = await Promise.race([finished, timedOut]);
      earlier.stop();
      this.#claim = { ...this.#claim!, isReleased: true, leaseMilliseconds };
    } else {
      const overlap = this.#random() * MAXIMUM_OVERLAP_MILLISECONDS;
      this.#timers.push(setTimeout(() => earlier.stop(), overlap));
    }
    this.#open();
  }

  #open(): void {
    const epoch = (this.#claim?.epoch ?? 0) + 1;
    const store = StoreClient.create(this.#address, () => {});
    const previousClaim = this.#claim;
    const claim: Claim = {
      epoch,
      holder: `owner-${epoch}`,
      hostName: `entry-${epoch}`,
      address: "10.0.0.1:7000",
      isReleased: false,
      renewal: 0,
      leaseMilliseconds: 0,
    };
    const owner = OwnerTask.create({
      epoch,
      previousClaim,
      journalStore: createJournalStore(store, LIMITS),
      executors: this.executors.createPort(),
      askAdvice: () => Promise.resolve(undefined),
      writeStatus: () => {},
      providerLeaseMilliseconds: 3_000,
      maintenanceMilliseconds: 2_000,
      limits: {
        retentionMilliseconds: 2_500,
        stopMilliseconds: 400,
        longestLeaseMilliseconds: LONGEST_LEASE_MILLISECONDS,
        jobLimits: JOB_LIMITS,
        offRackFactor: 2,
      },
      onFenced: () => {},
      onMeasured: () => {},
      claimClock: this.#clock,
      getMonotonicTime: () => performance.now(),
      getWallClockTime: () => Date.now(),
      log: () => {},
    });
    const plannedActions = { evacuatedZones: new Set<string>(), waves: new Map() };
    owner.post({ kind: "configuration", configuration: CONFIGURATION, plannedActions });
    owner.post({ kind: "executors", entries: EXECUTORS });
    this.#claim = claim;
    this.#current = owner;
    this.#stores.push(store);
    this.#owners.push(owner);
    const confirm = () => {
      if (this.#current !== owner) return clearInterval(timer);
      owner.post({ kind: "confirmed", confirmedAt: this.#clock.getElapsed(), renewal: 0 });
    };
    const timer = setInterval(confirm, RENEWAL_INTERVAL_MILLISECONDS);
    this.#timers.push(timer);
  }

  /** Submits a job to the current owner until it is accepted, and gets its tasks. */
  async submit(number: number): Promise<string[]> {
    const id = number.toString(16).padStart(16, "0");
    const kind = number % LARGE_JOB_INTERVAL === 0 ? STEPS.length - 1 : number % (STEPS.length - 1);
    const steps = STEPS[kind]!;
    const specification = {
      text: "",
      steps: steps.map((step) =>
        createStepSpecification({ demand: { cpu: 0, memory: 0, accelerators: 0 }, ...step })
      ),
      repeats: 0,
      firstAt: 0,
      intervalMilliseconds: 0,
    };
    let isAccepted = false;
    while (!isAccepted) {
      const reply = (answer: Answer) => {
        if (answer.outcome === AnswerOutcome.Accepted) isAccepted = true;
      };
      const call = {
        kind: CallKind.Submit,
        host: "h",
        path: `/${id}`,
        jobId: id,
        version: 1,
        queue: "tugs",
        customer: "",
        specification,
      };
      this.#current!.post({ kind: "call", call, reply });
      await delay(RESUBMISSION_MILLISECONDS);
    }
    return steps.flatMap(({ count }, step) =>
      Array.from({ length: count }, (_, index) => `${id}.0.${step}.${index}`)
    );
  }

  /** Stops the owners and the executors. */
  close(): void {
    for (const timer of this.#timers) clearInterval(timer);
    for (const owner of this.#owners) owner.stop();
    for (const store of this.#stores) store.close();
    this.executors.close();
  }
}

async function play(t: ExecutionContext, seed: number): Promise<void> {
  const random = createRandom(seed);
  const store = StoreStandIn.create();
  let hasFaults = true;
  const counts: Record<string, number> = {};
  for (const prefix of OTHER_PREFIXES) {
    for (let number = 0; number < OTHER_KEYS; number += 1) {
      store.put("keyed.journal", `${prefix}${number}`, number);
    }
  }
  const late = LateStore.create({
    store: await store.listen(),
    chooseFault: () => {
      if (!hasFaults) return LateStoreFault.None;
      const fault = FAULTS[Math.floor(random() / FAULT_PROBABILITY)] ?? LateStoreFault.None;
      counts[fault] = (counts[fault] ?? 0) + 1;
      return fault;
    },
    getLatenessMilliseconds: () => random() * MAXIMUM_LATENESS_MILLISECONDS,
  });
  const succession = Succession.create(await late.listen(), createRandom(seed + 1));
  const { history } = succession.executors;
  const jobs: Promise<string[]>[] = [];
  try {
    const endsAt = performance.now() + SUCCESSION_MILLISECONDS;
    const submitting = setInterval(
      () => jobs.push(succession.submit(jobs.length + 1)),
      JOB_INTERVAL_MILLISECONDS,
    );
    const terms = createRandom(seed + 2);
    let owners = 1;
    while (performance.now() < endsAt) {
      await delay(
        MINIMUM_TERM_MILLISECONDS +
          terms() * (MAXIMUM_TERM_MILLISECONDS - MINIMUM_TERM_MILLISECONDS),
      );
      if (terms() < COMPACTION_PROBABILITY) store.compact("keyed.journal");
      await succession.succeed();
      owners += 1;
    }
    clearInterval(submitting);
    hasFaults = false;
    const tasks = (await Promise.all(jobs)).flat();
    const until = performance.now() + COMPLETION_TIMEOUT_MILLISECONDS;
    const isOpen = (task: string) => !history.isDone(task);
    while (tasks.some(isOpen) && performance.now() < until) await delay(100);
    t.log(`seed ${seed}: ${JSON.stringify({ ...counts, owners, tasks: tasks.length })}`);
    t.deepEqual(
      { violations: history.violations, open: tasks.filter(isOpen) },
      { violations: [], open: [] },
      `seed ${seed}`,
    );
  } finally {
    succession.close();
    late.close();
    store.close();
  }
}

// Guards against ends that an owner has acknowledged and that its successor does not read.
test("a successor reads all that was acknowledged, whatever became of the appends", async (t) => {
  const { seed: firstSeed, numRuns } = getRunOptions({ seed: 20261207, numRuns: 1 });
  for (let seed = firstSeed; seed < firstSeed + numRuns; seed += 1) await play(t, seed);
});
