/** Owners that take over from each other, with executors and a journal in memory, on a paused clock. */

import FakeTimers from "@sinonjs/fake-timers";
import { Configuration } from "../fleet/configuration.ts";
import type { ExecutorEntry } from "../fleet/executor_entry.ts";
import { RunEnd } from "../fleet/run.ts";
import { type Answer, CallKind } from "../front/call.ts";
import { OrderOutcome } from "../owner/owner_ports.ts";
import {
  type ExecutorPort,
  type HostProvider,
  OwnerTask,
  type OwnerTaskOptions,
} from "../owner/owner_task.ts";
import type { Claim, JournalStore } from "../ownership/ownership_ports.ts";
import { RENEWAL_INTERVAL_MILLISECONDS } from "../ownership/ownership_task.ts";
import { getIncarnationKey } from "../owner/poll_control.ts";
import { ExecutorModel } from "../platform/stand_in/executor_model.ts";
import { RunHistory } from "../platform/stand_in/run_history.ts";
import { ElapsedClock } from "../tasks/mod.ts";
import { createListedExecutor, createQueue, JOB_LIMITS } from "./fleet_fixtures.ts";
import { createStepSpecification } from "./step_fixtures.ts";

/** The configuration of all owners. */
export const CONFIGURATION = Configuration.create({
  version: 1,
  queues: [createQueue()],
  services: [{ name: "tugdesk", isGuarded: false, isSpare: false }],
  customers: [],
  largestBodyBytes: 10_000,
});
const SPECIFICATION = {
  text: "",
  steps: [createStepSpecification({ isLasting: true })],
  repeats: 0,
  firstAt: 0,
  intervalMilliseconds: 0,
};
/** The claim of the first owner, which grants the first leases. */
export const CLAIM: Claim = {
  epoch: 1,
  holder: "owner-1",
  hostName: "entry-1",
  address: "10.0.0.1:7000",
  isReleased: false,
  renewal: 0,
  leaseMilliseconds: 0,
};
const JOB_ID = "00000000000000a1";
const TASK = `${JOB_ID}.0.0.0`;
const EXECUTORS = ["i-1", "i-2"].map((id) => createListedExecutor({ id, born: 1_000 }));
/** How long an order that an executor does not answer is waited for, in milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 700;

/** How long an order takes to arrive, in milliseconds. */
const ORDER_MILLISECONDS = 5;

type OwnerParts = Pick<
  OwnerTaskOptions,
  "epoch" | "previousClaim" | "journalStore" | "executors" | "claimClock" | "provider"
>;

/** Creates an owner without an adviser, a provider and logs. */
export function createOwner(parts: OwnerParts): OwnerTask {
  return OwnerTask.create({
    askAdvice: () => Promise.resolve(undefined),
    writeStatus: () => {},
    providerLeaseMilliseconds: 3_000,
    maintenanceMilliseconds: 2_000,
    limits: {
      retentionMilliseconds: 120_000,
      stopMilliseconds: 400,
      longestLeaseMilliseconds: 10_000,
      jobLimits: JOB_LIMITS,
      offRackFactor: 2,
    },
    onFenced: () => {},
    onMeasured: () => {},
    getMonotonicTime: () => performance.now(),
    getWallClockTime: () => Date.now(),
    log: () => {},
    ...parts,
  });
}

/** Executors and a journal in memory, with owners that use them in turn. */
export class OwnerSuccession {
  readonly clock = FakeTimers.install();
  /** Whether owners can't renew their claims. */
  isStoreDown = false;
  /** The starts and ends of runs at the executors, in order. */
  readonly events: string[] = [];
  /** The runs at the executors, with a check that no task is repeated. */
  readonly history = RunHistory.create(() => performance.now());
  readonly #journal = new Map<string, Uint8Array>();
  readonly #models = new Map<string, ExecutorModel>();
  /** The executors' present incarnations, by id. */
  readonly #incarnations = new Map<string, string>();
  /** The executors that orders do not reach. */
  readonly #cutOff = new Set<string>();
  /** The executors that carry out orders but answer none. */
  readonly #mute = new Set<string>();
  readonly #owners: OwnerTask[] = [];
  /** The entries in the platform's list. */
  #listed: readonly ExecutorEntry[] = EXECUTORS;
  readonly #claimClock = ElapsedClock.create();

  private constructor() {
    for (const entry of EXECUTORS) this.#startExecutor(entry);
    setInterval(() => this.#advanceExecutors(), 5);
  }

  /** Creates executors without runs, and installs a clock that `stop` removes. */
  static create(): OwnerSuccession {
    return new OwnerSuccession();
  }

  /** Starts an owner, whose claim is confirmed from then on while the store is up. */
  async open(
    epoch: number,
    previousClaim: Claim | undefined,
    provider?: HostProvider,
  ): Promise<OwnerTask> {
    const owner = createOwner({
      epoch,
      previousClaim,
      journalStore: this.#createJournalStore(),
      executors: this.#createExecutorPort(),
      claimClock: this.#claimClock,
      provider,
    });
    this.#owners.push(owner);
    setInterval(() => {
      if (this.isStoreDown) return;
      owner.post({ kind: "confirmed", confirmedAt: this.#claimClock.getElapsed(), renewal: 0 });
    }, RENEWAL_INTERVAL_MILLISECONDS);
    const plannedActions = { evacuatedZones: new Set<string>(), waves: new Map() };
    owner.post({ kind: "configuration", configuration: CONFIGURATION, plannedActions });
    owner.post({ kind: "executors", entries: this.#listed });
    await this.clock.tickAsync(200);
    return owner;
  }

  /** Submits a job of one long-running task. */
  submit(owner: OwnerTask): void {
    const call = {
      kind: CallKind.Submit,
      host: "h",
      path: `/${JOB_ID}`,
      jobId: JOB_ID,
      version: 1,
      queue: "tugs",
      customer: "",
      specification: SPECIFICATION,
    };
    owner.post({ kind: "call", call, reply: (_answer: Answer) => {} });
  }

  /** Cuts off the executor that runs the task. */
  cutOffRunningExecutor(): void {
    for (const [id, model] of this.#models) if (model.running.has(TASK)) this.#cutOff.add(id);
  }

  /** Restarts the executor that gets the task, not yet listed; it answers no orders for a while. */
  restartFirstExecutor(muteMilliseconds: number): void {
    const { id } = EXECUTORS[0]!;
    this.#startExecutor({ ...EXECUTORS[0]!, born: this.#getFirstBorn() });
    this.#mute.add(id);
    setTimeout(() => this.#mute.delete(id), muteMilliseconds);
  }

  /** Lists the restarted executor for all owners, as of its restart some time ago. */
  listRestart(agoMilliseconds: number): void {
    const [first, ...others] = EXECUTORS;
    this.#listed = [{ ...first!, born: this.#getFirstBorn() - agoMilliseconds }, ...others];
    for (const owner of this.#owners) owner.post({ kind: "executors", entries: this.#listed });
  }

  /** Hands over, ends the owner, and gets the claim as its host releases it. */
  async handOver(owner: OwnerTask, claim: Claim): Promise<Claim> {
    this.isStoreDown = false;
    let leaseMilliseconds: number | undefined;
    owner.post({ kind: "hand-over", reply: (lease) => (leaseMilliseconds = lease) });
    await this.clock.tickAsync(5);
    owner.stop();
    return { ...claim, isReleased: true, ...(leaseMilliseconds && { leaseMilliseconds }) };
  }

  /** Stops all owners and removes the clock. */
  stop(): void {
    for (const owner of this.#owners) owner.stop();
    this.clock.uninstall();
  }

  #getFirstBorn(): number {
    return EXECUTORS[0]!.born + performance.now();
  }

  #startExecutor(entry: ExecutorEntry): void {
    const { id, capacity, born } = entry;
    const incarnation = getIncarnationKey(entry);
    const ended = this.#incarnations.get(id);
    if (ended !== undefined) this.history.addLoss(ended);
    this.#incarnations.set(id, incarnation);
    const model = ExecutorModel.create({
      capacity,
      born,
      startedAt: performance.now(),
      stopMilliseconds: 100,
      startupMilliseconds: 100,
      planRun: () => ({ durationMilliseconds: Infinity, end: RunEnd.Done }),
      onStart: (run) => {
        this.events.push(`start of ${run.task} on ${id}`);
        this.history.addStart(incarnation, run);
      },
      onEnd: (run, end) => {
        this.events.push(`end of ${run.task} on ${id}: ${end}`);
        this.history.addEnd(incarnation, run, end);
      },
      onAcknowledged: (end) => this.history.addAcknowledgement(incarnation, end),
    });
    this.#models.set(id, model);
  }

  #advanceExecutors(): void {
    for (const model of this.#models.values()) model.advance(performance.now());
  }

  #createJournalStore(): JournalStore {
    return {
      append: (entries) => {
        for (const { key, value } of entries) {
          if (value === undefined) this.#journal.delete(key);
          else this.#journal.set(key, value);
        }
        return Promise.resolve({ outcome: "done" });
      },
      readAll: () => Promise.resolve([...this.#journal]),
    };
  }

  #createExecutorPort(): ExecutorPort {
    const send = async <Reply>(executor: ExecutorEntry, act: (model: ExecutorModel) => Reply) => {
      const { id } = executor;
      const wait = (milliseconds: number) =>
        new Promise((resolve) => setTimeout(resolve, milliseconds));
      if (this.#cutOff.has(id)) {
        await wait(ORDER_TIMEOUT_MILLISECONDS);
        return undefined;
      }
      await wait(ORDER_MILLISECONDS);
      const model = this.#models.get(id)!;
      const reply = act(model);
      if (!this.#mute.has(id)) {
        return { reply, executorTime: model.getExecutorTime(performance.now()) };
      }
      await wait(ORDER_TIMEOUT_MILLISECONDS - ORDER_MILLISECONDS);
      return undefined;
    };
    const order = async (executor: ExecutorEntry, act: (model: ExecutorModel) => OrderOutcome) => {
      const answer = await send(executor, act);
      if (answer === undefined) return { outcome: OrderOutcome.Unanswered };
      return { outcome: answer.reply, executorTime: answer.executorTime };
    };
    return {
      start: (start) => order(start.executor, (model) => model.start(start, performance.now())),
      stop: ({ executor, task, run, fence }) =>
        order(executor, (model) => model.stop(task, run, fence, performance.now())),
      pace: () => Promise.resolve({ outcome: OrderOutcome.Done }),
      poll: async (poll) => {
        const answer = await send(poll.executor, (model) => {
          const acknowledged = model.getDeliveredAcknowledgement(poll);
          return { acknowledged, report: model.poll({ ...poll, acknowledged }, performance.now()) };
        });
        if (answer === undefined) return { outcome: OrderOutcome.Unanswered };
        const { acknowledged, report } = answer.reply;
        if (report === undefined) return { outcome: OrderOutcome.Fenced };
        return { outcome: OrderOutcome.Done, acknowledged, report };
      },
    };
  }
}
