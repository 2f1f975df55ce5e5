/** A fleet in virtual time around the owner's decisions, which checks the promises at every step. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { EventLog } from "../../events/mod.ts";
import { Configuration, type ConfigurationData } from "../../fleet/configuration.ts";
import type { ExecutorEntry } from "../../fleet/executor_entry.ts";
import { type JobSpecification, parseTaskName } from "../../fleet/job_specification.ts";
import { addResources, type Resources } from "../../fleet/resources.ts";
import { RunEnd } from "../../fleet/run.ts";
import { FleetOwner } from "../../owner/fleet_owner.ts";
import { readStoredJobs } from "../../owner/job_records.ts";
import { type JournalEntry, OrderOutcome, type OwnerPorts } from "../../owner/owner_ports.ts";
import { ExecutorModel, type ModelRun, type RunPlan } from "./executor_model.ts";

/** The lease that the owner grants, in milliseconds. */
const LEASE_MILLISECONDS = 3_000;
/** How long an order without an answer is waited for, in milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 700;
/** How long an acknowledged cancel or request may take until no start follows, in milliseconds. */
const REACTION_MILLISECONDS = 1_000;

/** What goes wrong in a run of the world. */
export interface WorldFaults {
  /** The part of the orders that get no answer. */
  lostPart: number;
  /** The part of the orders without an answer that are carried out late. */
  latePart: number;
  /** The part of the runs that fail. */
  failingPart: number;
}

/** What the owner is told falsely, so that a check can be seen to fail. */
export interface WorldLies {
  /** Changes the entries that the owner sees. */
  entry?: (entry: ExecutorEntry) => ExecutorEntry;
  /** Changes the jobs that the owner sees. */
  job?: (job: JobSpecification) => JobSpecification;
  /** Changes the configuration that the owner sees. */
  configuration?: (data: ConfigurationData) => ConfigurationData;
  /** Whether the owner is not told of evacuated zones. */
  hidesEvacuation?: boolean;
  /** Whether a new owner finds no records of what ran. */
  losesJournal?: boolean;
}

/** Options of a `FleetWorld`. */
export interface FleetWorldOptions {
  /** The seed of everything random. */
  seed: number;
  /** What goes wrong. */
  faults: WorldFaults;
  /** What operators have published. */
  configuration: ConfigurationData;
  /** The executors. */
  executors: readonly ExecutorEntry[];
  /** What the owner is told falsely. */
  lies?: WorldLies;
}

interface Event {
  at: number;
  run: () => void;
}

/** The fleet, its owner, and what was seen of both. */
export class FleetWorld {
  /** The promises that were broken, as lines. */
  readonly violations: string[] = [];
  /** What happened, by kind. */
  readonly counts: Record<string, number> = {};
  readonly #options: FleetWorldOptions;
  readonly #random: () => number;
  readonly #models = new Map<string, ExecutorModel>();
  readonly #entries = new Map<string, ExecutorEntry>();
  readonly #journal = new Map<string, Uint8Array>();
  readonly #jobs = new Map<string, { customer: string; specification: JobSpecification }>();
  readonly #cancelledAt = new Map<string, number>();
  readonly #done = new Set<string>();
  /** The tasks whose end was lost with its executor: they may start again. */
  readonly #lost = new Set<string>();
  readonly #failures = new Map<string, number>();
  readonly #runningTasks = new Map<string, string>();
  readonly #evacuatedAt = new Map<string, number>();
  readonly #events: Event[] = [];
  #owner: FleetOwner | undefined;
  #fence = 0;
  #storedAt = 0;
  #now = 0;

  private constructor(options: FleetWorldOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    for (const entry of options.executors) {
      this.#entries.set(entry.id, entry);
      this.#models.set(entry.id, this.#createModel(entry));
    }
  }

  /** Creates a world with its first owner. */
  static create(options: FleetWorldOptions): FleetWorld {
    const world = new FleetWorld(options);
    world.replaceOwner();
    return world;
  }

  /** Gets the time. */
  getNow(): number {
    return this.#now;
  }

  /** Submits a job. */
  submit(id: string, queue: string, customer: string, specification: JobSpecification): void {
    this.#jobs.set(id, { customer, specification });
    const told = this.#options.lies?.job?.(specification) ?? specification;
    this.#withOwner((owner) =>
      owner.submit({ id, queue, customer, specification: told }, () => this.#count("accepted"))
    );
  }

  /** Cancels a job. */
  cancel(id: string): void {
    this.#withOwner((owner) => owner.cancel(id, () => this.#cancelledAt.set(id, this.#now)));
  }

  /** Takes a zone out. */
  evacuate(zone: string): void {
    this.#evacuatedAt.set(zone, this.#now);
    this.#tellRequests();
  }

  /** Lets an executor announce that it leaves. */
  drain(id: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) this.#entries.set(id, { ...entry, isDraining: true });
    this.#tellExecutors();
  }

  /** Ends an executor's life; another one takes its id. */
  crash(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    const model = this.#models.get(id)!;
    for (const run of model.running.values()) this.#runningTasks.delete(run.task);
    this.#lose(model);
    const reborn = { ...entry, born: entry.born + 1, isDraining: false };
    this.#entries.set(id, reborn);
    this.#models.set(id, this.#createModel(reborn));
    this.#tellExecutors();
  }

  /** Puts a new owner in the place of the present one, which can do nothing more that counts. */
  replaceOwner(): void {
    const { lies, configuration } = this.#options;
    this.#fence += 1;
    const fence = this.#fence;
    const stored = lies?.losesJournal ? this.#getAcceptedOnly() : [...this.#journal];
    const data = lies?.configuration?.(configuration) ?? configuration;
    this.#owner = FleetOwner.create({
      fence,
      limits: {
        rememberMilliseconds: 120_000,
        stopMilliseconds: 300,
        farFactor: 1.5,
        earlierLeaseMilliseconds: fence === 1 ? 0 : LEASE_MILLISECONDS,
      },
      ports: this.#createPorts(fence),
      log: IGNORE_EVENT,
      startedAt: this.#now,
      timeOfDay: this.#now,
      configuration: Configuration.create(data),
      jobs: readStoredJobs(stored).jobs,
      stored,
      capacityTerms: {
        backlogMilliseconds: 1_000,
        usablePart: 0.9,
        forecastPart: 0.75,
        spareHosts: 1,
        fewestHosts: 1,
      },
      hostOrderWaits: new Map(),
      maintenanceMilliseconds: 2_000,
      executors: this.#getToldEntries(),
      doubtMilliseconds: fence === 1 ? 0 : LEASE_MILLISECONDS + 200,
    });
    this.#tellRequests();
  }

  /** Lets time pass. */
  run(milliseconds: number): void {
    const end = this.#now + milliseconds;
    for (let tickAt = this.#now; tickAt < end; tickAt += 25) {
      this.#runEvents(tickAt);
      this.#now = tickAt;
      for (const model of this.#models.values()) {
        model.advance(this.#now);
        if (model.isLapsed(this.#now)) this.#lose(model);
      }
      this.#withOwner((owner) => owner.tick());
      this.#check();
    }
  }

  /** Gets what callers are told of a job. */
  getJobState(id: string): string | undefined {
    return this.#owner?.getJobState(id);
  }

  #runEvents(until: number): void {
    for (;;) {
      this.#events.sort((first, second) => first.at - second.at);
      const next = this.#events[0];
      if (next === undefined || next.at > until) return;
      this.#events.shift();
      this.#now = next.at;
      next.run();
    }
  }

  #withOwner(act: (owner: FleetOwner) => void): void {
    const owner = this.#owner!;
    owner.setMoment({
      now: this.#now,
      timeOfDay: this.#now,
      renewal: 0,
      mayStart: true,
      mayExtend: true,
      leaseMilliseconds: LEASE_MILLISECONDS,
    });
    act(owner);
    owner.settle();
  }

  #createPorts(fence: number): OwnerPorts {
    const isCurrent = () => this.#fence === fence;
    const answer = (act: (owner: FleetOwner) => void) => {
      if (isCurrent()) this.#withOwner(act);
    };
    return {
      start: (order) =>
        this.#send(
          order.executor,
          (model) => model.start(order, this.#now),
          (outcome) =>
            answer((owner) =>
              owner.handleStartAnswer(order.executor.id, order.task, order.run, { outcome })
            ),
        ),
      stop: (order) =>
        this.#send(
          order.executor,
          (model) => model.stop(order.task, order.run, order.fence, this.#now),
          (outcome) =>
            answer((owner) =>
              owner.handleStopAnswer(order.executor.id, order.task, order.run, { outcome })
            ),
        ),
      pace: () => {},
      look: (order) => {
        const sentAt = this.#now;
        let report: ReturnType<ExecutorModel["look"]>;
        this.#send(order.executor, (model) => {
          report = model.look(order, this.#now);
          return report === undefined ? OrderOutcome.Fenced : OrderOutcome.Done;
        }, (outcome) =>
          answer((owner) =>
            owner.handleLookAnswer(
              order.executor.id,
              sentAt,
              outcome === OrderOutcome.Done && report !== undefined
                ? { outcome, report }
                : { outcome: OrderOutcome.Unanswered },
            )
          ));
      },
      askAdvice: () => {},
      listHosts: () => {},
      maintain: () => {},
      move: () => {},
      writeStatus: () => {},
      write: (entries, onStored) => {
        // Appends are stored in the order in which they were sent.
        this.#storedAt = Math.max(this.#storedAt, this.#now + 3 + this.#random() * 8);
        this.#schedule(this.#storedAt - this.#now, () => {
          if (!isCurrent()) return;
          for (const entry of entries) this.#store(entry);
          this.#withOwner(() => onStored());
        });
      },
    };
  }

  #store(entry: JournalEntry): void {
    if (entry.value === undefined) this.#journal.delete(entry.key);
    else this.#journal.set(entry.key, entry.value);
  }

  /** Carries an order to the life of an executor that it is meant for; answers and orders get lost. */
  #send(
    entry: ExecutorEntry,
    act: (model: ExecutorModel) => OrderOutcome,
    answer: (outcome: OrderOutcome) => void,
  ): void {
    const { lostPart, latePart } = this.#options.faults;
    const deliver = (): OrderOutcome => {
      const model = this.#models.get(entry.id);
      const isSameLife = this.#entries.get(entry.id)?.born === entry.born;
      return model === undefined || !isSameLife ? OrderOutcome.Gone : act(model);
    };
    const there = 1 + this.#random() * 4;
    if (this.#random() < lostPart) {
      this.#count("lost");
      const isLate = this.#random() < latePart;
      if (isLate) this.#schedule(2_000 + this.#random() * 10_000, () => void deliver());
      else if (this.#random() < 0.5) this.#schedule(there, () => void deliver());
      this.#schedule(ORDER_TIMEOUT_MILLISECONDS, () => answer(OrderOutcome.Unanswered));
      return;
    }
    this.#schedule(there, () => {
      const outcome = deliver();
      this.#schedule(1 + this.#random() * 4, () => answer(outcome));
    });
  }

  #schedule(delay: number, run: () => void): void {
    this.#events.push({ at: this.#now + delay, run });
  }

  #createModel(entry: ExecutorEntry): ExecutorModel {
    return ExecutorModel.create({
      capacity: entry.capacity,
      born: entry.born,
      startedAt: this.#now,
      stopMilliseconds: 300,
      startupMilliseconds: 200,
      planRun: (task) => this.#planRun(task),
      onStart: (run) => this.#handleStart(entry, run),
      onEnd: (run, end) => this.#handleEnd(run, end),
    });
  }

  #planRun(task: string): RunPlan {
    const name = parseTaskName(task)!;
    const step = this.#jobs.get(name.jobId)?.specification.steps[name.step];
    const isFailing = this.#random() < this.#options.faults.failingPart;
    if (step?.isLasting && !isFailing) return { milliseconds: Infinity, end: RunEnd.Done };
    const milliseconds = (step?.estimatedMilliseconds ?? 100) * (0.5 + this.#random());
    return { milliseconds, end: isFailing ? RunEnd.Failed : RunEnd.Done };
  }

  #handleStart(entry: ExecutorEntry, run: ModelRun): void {
    this.#count("started");
    const name = parseTaskName(run.task);
    const job = name && this.#jobs.get(name.jobId);
    if (name === undefined || job === undefined) return this.#break("UNASKED", run.task);
    const step = job.specification.steps[name.step]!;
    if (this.#runningTasks.has(run.task)) this.#break("TWICE", `${run.task} runs already`);
    if (this.#done.has(run.task) && !this.#lost.has(run.task)) {
      this.#break("TWICE", `${run.task} is done`);
    }
    this.#runningTasks.set(run.task, entry.id);
    for (const earlier of step.after) {
      const { count } = job.specification.steps[earlier]!;
      for (let index = 0; index < count; index += 1) {
        const needed = `${name.jobId}.${name.occurrence}.${earlier}.${index}`;
        if (!this.#done.has(needed)) this.#break("ORDER", `${run.task} before ${needed}`);
      }
    }
    const limit = this.#options.configuration.queues[0]!.attemptLimit;
    if (
      !step.isLasting && (this.#failures.get(run.task) ?? 0) >= limit && !this.#lost.has(run.task)
    ) {
      this.#break("BUDGET", run.task);
    }
    const cancelledAt = this.#cancelledAt.get(name.jobId);
    if (cancelledAt !== undefined && this.#now > cancelledAt + REACTION_MILLISECONDS) {
      this.#break("UNASKED", `${run.task} after its cancel`);
    }
    const evacuatedAt = this.#evacuatedAt.get(entry.zone);
    if (evacuatedAt !== undefined && this.#now > evacuatedAt + REACTION_MILLISECONDS) {
      this.#break("EVAC", `${run.task} in ${entry.zone}`);
    }
    if (step.label !== undefined && !entry.labels.includes(step.label)) {
      this.#break("ROUTE", `${run.task} without ${step.label}`);
    }
  }

  #handleEnd(run: ModelRun, end: RunEnd): void {
    this.#count(end);
    this.#runningTasks.delete(run.task);
    if (end === RunEnd.Done) this.#done.add(run.task);
    if (end === RunEnd.Failed) {
      this.#failures.set(run.task, (this.#failures.get(run.task) ?? 0) + 1);
    }
  }

  /** Checks that a job is shown as failed only if a task of it has failed as often as it may. */
  #checkFailedJobs(): void {
    const limit = this.#options.configuration.queues[0]!.attemptLimit;
    for (const id of this.#jobs.keys()) {
      if (this.#owner?.getJobState(id) !== "failed") continue;
      const hasCause = [...this.#failures].some(([task, count]) =>
        task.startsWith(`${id}.`) && count >= limit
      );
      if (!hasCause) this.#break("LOST", `${id} is shown as failed`);
    }
  }

  /** Checks what holds over all executors together. */
  #check(): void {
    this.#checkFailedJobs();
    const byCustomer = new Map<string, Resources>();
    for (const [id, model] of this.#models) {
      const used = { cpu: 0, memory: 0, accelerators: 0 };
      for (const run of model.running.values()) {
        const name = parseTaskName(run.task)!;
        const job = this.#jobs.get(name.jobId)!;
        const { demand } = job.specification.steps[name.step]!;
        addResources(used, demand);
        const total = byCustomer.get(job.customer) ?? { cpu: 0, memory: 0, accelerators: 0 };
        addResources(total, demand);
        byCustomer.set(job.customer, total);
      }
      const { capacity } = this.#entries.get(id)!;
      if (used.cpu > capacity.cpu || used.memory > capacity.memory) this.#break("LIMIT", id);
    }
    for (const customer of this.#options.configuration.customers) {
      const used = byCustomer.get(customer.name);
      if (used === undefined || customer.ceiling.cpu === 0) continue;
      if (used.cpu > customer.ceiling.cpu * 1.1) this.#break("QUOTA", customer.name);
    }
  }

  /** Ends that nobody took note of before a crash or the end of a lease count for nothing. */
  #lose(model: ExecutorModel): void {
    for (const task of model.getUnacknowledged()) this.#lost.add(task);
  }

  #break(rule: string, what: string): void {
    if (this.violations.length < 20) this.violations.push(`${rule}: ${what}`);
  }

  #count(kind: string): void {
    this.counts[kind] = (this.counts[kind] ?? 0) + 1;
  }

  #getToldEntries(): ExecutorEntry[] {
    const tell = this.#options.lies?.entry ?? ((entry: ExecutorEntry) => entry);
    return [...this.#entries.values()].map(tell);
  }

  #tellExecutors(): void {
    const entries = this.#getToldEntries();
    this.#schedule(100, () => this.#withOwner((owner) => owner.setExecutors(entries)));
  }

  #tellRequests(): void {
    if (this.#options.lies?.hidesEvacuation) return;
    const evacuatedZones = new Set(this.#evacuatedAt.keys());
    this.#withOwner((owner) => owner.setRequests({ evacuatedZones, waves: new Map() }));
  }

  #getAcceptedOnly(): [string, Uint8Array][] {
    return [...this.#journal].filter(([key]) => !key.startsWith("progress/"));
  }
}

const IGNORE_EVENT: EventLog = () => {};

/** Creates a source of numbers from 0 to 1 that a seed decides. */
function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
