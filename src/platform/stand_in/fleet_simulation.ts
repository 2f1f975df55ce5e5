/** A fleet in virtual time around the owner's decisions, which checks the promises at every step. */

import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import type { EventLog } from "../../events/mod.ts";
import { Configuration } from "../../fleet/configuration.ts";
import type { ExecutorEntry } from "../../fleet/executor_entry.ts";
import type { Host } from "../../fleet/host.ts";
import type { JobSpecification } from "../../fleet/job_specification.ts";
import type { MaintenanceWave } from "../../fleet/maintenance_wave.ts";
import { RunEnd } from "../../fleet/run.ts";
import { FleetOwner } from "../../owner/fleet_owner.ts";
import { DEFAULT_CAPACITY_POLICY } from "../../owner/pool_need.ts";
import { EarlierHostOrders } from "../../owner/host_order_records.ts";
import { readStoredJobs } from "../../owner/job_records.ts";
import { type JournalEntry, OrderOutcome, type OwnerPorts } from "../../owner/owner_ports.ts";
import type { Claim } from "../../ownership/ownership_ports.ts";
import { RENEWAL_INTERVAL_MILLISECONDS } from "../../ownership/ownership_task.ts";
import { EventQueue } from "../../stand_ins/event_queue.ts";
import { ExecutorModel, type ModelRun, type RunPlan } from "./executor_model.ts";
import { InvariantChecker } from "./invariant_checker.ts";
import { ProviderModel } from "./provider_model.ts";
import { LivenessChecker } from "./liveness_checker.ts";
import type { FleetSimulationOptions, SimulationFaults } from "./simulation_options.ts";

/** The lease that the owner grants, in milliseconds. */
const LEASE_MILLISECONDS = 3_000;
/** How long an order without an answer is waited for, in milliseconds. */
const ORDER_TIMEOUT_MILLISECONDS = 700;
/** How long an append without an answer may take until its repetition is answered, in milliseconds. */
const APPEND_TIMEOUT_MILLISECONDS = 1_500;
/** How long a stop takes on an executor, in milliseconds. */
const STOP_MILLISECONDS = 300;
/** How long a host is away for a move, in milliseconds. */
const MOVE_MILLISECONDS = 1_500;
/** How long a host is away for maintenance, in milliseconds. */
const MAINTENANCE_MILLISECONDS = 2_000;
/** After how long a task that is away for any cause counts as away, in milliseconds. */
const NOTICE_MILLISECONDS = 4_500;
/** How long a change of the executors takes until the owner sees it, in milliseconds. */
const LISTING_MILLISECONDS = 100;
/** How long a wave that has got hosts anew may still be shown as completed: a reading of the list and 1 s. */
const REOPENING_MILLISECONDS = 4_000;
/** The birth of executors at the begin of time, in milliseconds since 1970; 0 means unknown. */
const FIRST_BIRTH_MILLISECONDS = 1_000;
/** How far time goes at a step, in milliseconds: the owner's own. */
const STEP_MILLISECONDS = 25;

/** The fleet, its owner, and what was seen of both. */
export class FleetSimulation {
  /** What happened, by kind. */
  readonly eventCounts: Record<string, number> = {};
  /** For how long hosts were in pools that are paid for, in milliseconds. */
  pooledHostMilliseconds = 0;
  readonly #options: FleetSimulationOptions;
  readonly #checks: InvariantChecker;
  readonly #starts: LivenessChecker;
  #faults: SimulationFaults;
  readonly #provider: ProviderModel;
  readonly #random: () => number;
  /** Decides on the journal's answers, apart from all else that is random. */
  readonly #journalRandom: () => number;
  readonly #models = new Map<string, ExecutorModel>();
  readonly #entries = new Map<string, ExecutorEntry>();
  readonly #journal = new Map<string, Uint8Array>();
  readonly #evacuatedZones = new Set<string>();
  readonly #waves = new Map<number, MaintenanceWave>();
  /** When each wave was last asked for or got a host back. */
  readonly #wavesChangedAt = new Map<number, number>();
  /** The hosts of waves that the provider knows. */
  readonly #knownWaves = new Map<number, ReadonlySet<string>>();
  /** The executors that are gone and listed still. */
  readonly #lingering = new Map<string, ExecutorEntry>();
  /** The executors whose entries are not listed, though they live. */
  readonly #hidden = new Set<string>();
  readonly #completedWaves = new Set<number>();
  readonly #events = EventQueue.create();
  #owner: FleetOwner | undefined;
  #fence = 0;
  #ownedSince = 0;
  #storedAt = 0;
  #toldStoredAt = 0;
  #lives = 0;
  /** Whether an order is being carried out long after it was sent. */
  #isDeliveringLate = false;
  #now = 0;

  private constructor(options: FleetSimulationOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.#journalRandom = createRandom(options.seed + 1);
    this.#faults = options.faults;
    this.#checks = InvariantChecker.create({
      configuration: options.configuration,
      unavailabilityThresholdMilliseconds: NOTICE_MILLISECONDS,
    });
    this.#starts = LivenessChecker.create({
      configuration: options.configuration,
      onViolation: (rule, what) => this.#checks.addViolation(rule, what),
    });
    for (const entry of options.executors ?? []) {
      this.#entries.set(entry.id, entry);
      this.#models.set(entry.id, this.#createModel(entry));
    }
    this.#provider = ProviderModel.create({
      hosts: options.hosts ?? [],
      moveMilliseconds: MOVE_MILLISECONDS,
      maintenanceMilliseconds: MAINTENANCE_MILLISECONDS,
      leaseMilliseconds: LEASE_MILLISECONDS,
      isInWave: (host, wave) => this.#knownWaves.get(wave)?.has(host) === true,
      onOutOfService: (host) => this.#takeExecutor(host),
      onRemoved: (host) => this.#loseExecutor(host.executorId),
      onInService: (host) => this.#createExecutor(host),
      onViolation: (rule, what) => this.#checks.addViolation(rule, what),
    });
  }

  /** Creates a world with its first owner. */
  static create(options: FleetSimulationOptions): FleetSimulation {
    const world = new FleetSimulation(options);
    world.replaceOwner();
    return world;
  }

  /** Gets the time. */
  getNow(): number {
    return this.#now;
  }

  /** Gets the promises that were broken, as lines. */
  get violations(): readonly string[] {
    return this.#checks.violations;
  }

  /** Gets the ids of the executors that live, of one service or of all. */
  getExecutorIds(service?: string): string[] {
    const entries = [...this.#entries.values()];
    return entries.filter((entry) => (service ?? entry.service) === entry.service)
      .map(({ id }) => id);
  }

  /** Gets the number of moves of hosts so far. */
  getMoveCount(): number {
    return this.#provider.moves;
  }

  /** Gets whether operators were told that a wave is completed. */
  isCompleted(wave: number): boolean {
    return this.#completedWaves.has(wave);
  }

  /** Submits a job. */
  submit(id: string, queue: string, customer: string, specification: JobSpecification): void {
    this.#checks.addJob(id, { queue, customer, specification });
    this.#starts.addJob(id, { queue, customer, specification });
    const told = this.#options.falsifiedInput?.job?.(specification) ?? specification;
    this.#withOwner((owner) =>
      owner.submit({ id, queue, customer, specification: told }, () => {
        this.#count("accepted");
        this.#checks.addAcceptedJob(id, this.#now);
        this.#starts.addAcceptedJob(id);
      })
    );
  }

  /** Cancels a job. */
  cancel(id: string): void {
    this.#checks.addCancelRequest(id);
    this.#starts.addCancelRequest(id);
    this.#withOwner((owner) =>
      owner.cancel(id, () => this.#checks.addAcknowledgedCancel(id, this.#now))
    );
  }

  /** Takes a zone out. */
  evacuate(zone: string): void {
    this.#starts.addFault(this.#now);
    this.#evacuatedZones.add(zone);
    this.#checks.addEvacuation(zone, this.#now);
    this.#tellRequests();
  }

  /** Asks for a wave of maintenance. */
  requestWave(wave: MaintenanceWave): void {
    this.#waves.set(wave.number, wave);
    this.#wavesChangedAt.set(wave.number, this.#now);
    const learn = () => void this.#knownWaves.set(wave.number, new Set(wave.hosts));
    const delay = this.#options.waveDelayMilliseconds ?? 0;
    if (delay === 0) learn();
    else this.#schedule(delay, learn);
    this.#tellRequests();
  }

  /** Leaves a host that stays out of the provider's list for a while. */
  unlistHost(name: string, milliseconds: number): void {
    this.#provider.setListed(name, false);
    this.#schedule(milliseconds, () => this.#provider.setListed(name, true));
  }

  /** Takes a host out of all pools. */
  removeHost(name: string): void {
    this.#provider.remove(name);
  }

  /** Adds a host that had left, with nothing known of its maintenance. */
  addHost(host: Host): void {
    this.#provider.add(host);
    for (const { number, hosts } of this.#waves.values()) {
      if (hosts.includes(host.name)) this.#wavesChangedAt.set(number, this.#now);
    }
  }

  /** Gets which hosts of a wave have had its maintenance. */
  getMaintainedHosts(wave: number): string[] {
    return this.#waves.get(wave)?.hosts.filter((host) =>
      this.#provider.wasMaintained(host, wave)
    ) ?? [];
  }

  /** Lets an executor announce that it leaves. */
  drain(id: string): void {
    const entry = this.#entries.get(id);
    if (entry !== undefined) {
      this.#starts.addFault(this.#now);
      this.#entries.set(id, { ...entry, isDraining: true });
      this.#checks.addDrain(id, this.#now);
    }
    this.#tellExecutors();
  }

  /** Ends an executor's life; another one takes its id. */
  crash(id: string): void {
    const entry = this.#entries.get(id);
    if (entry === undefined) return;
    this.#starts.addFault(this.#now);
    this.#endRuns(id);
    this.#checks.addIncarnation(id);
    const reborn = { ...entry, born: entry.born + 1, isDraining: false };
    this.#entries.set(id, reborn);
    this.#models.set(id, this.#createModel(reborn));
    this.#tellExecutors();
  }

  /** Takes the entries of executors that live on out of the list, and puts them back. */
  unlistExecutors(ids: readonly string[], milliseconds: number): void {
    this.#starts.addFault(this.#now);
    for (const id of ids) this.#hidden.add(id);
    this.#tellExecutors();
    this.#schedule(milliseconds, () => {
      this.#starts.addFault(this.#now);
      for (const id of ids) this.#hidden.delete(id);
      this.#tellExecutors();
    });
  }

  /** Puts a new owner in the place of the present one, which can do nothing more that counts. */
  replaceOwner(): void {
    const { falsifiedInput: lies, configuration } = this.#options;
    const previousClaim = this.#getClaim();
    const stored = this.#getStored();
    this.#starts.addFault(this.#now);
    this.#fence += 1;
    this.#ownedSince = this.#now;
    this.#toldStoredAt = this.#now;
    const fence = this.#fence;
    const data = lies?.configuration?.(configuration) ?? configuration;
    this.#owner = FleetOwner.create({
      fence,
      limits: {
        retentionMilliseconds: 120_000,
        stopMilliseconds: STOP_MILLISECONDS,
        offRackFactor: 1.5,
        earlierLeaseMilliseconds: fence === 1 ? 0 : LEASE_MILLISECONDS,
      },
      ports: this.#createPorts(fence),
      log: IGNORE_EVENT,
      startedAt: this.#now,
      timeOfDay: this.#getTimeOfDay(),
      configuration: Configuration.create(data),
      jobs: readStoredJobs(stored).jobs,
      stored,
      capacityPolicy: this.#options.capacityPolicy ?? DEFAULT_CAPACITY_POLICY,
      earlierHostOrders: EarlierHostOrders.create({
        stored,
        previousClaim,
        leaseMilliseconds: LEASE_MILLISECONDS,
        startedAt: this.#now,
      }),
      maintenanceMilliseconds: MAINTENANCE_MILLISECONDS,
      executors: this.#getToldEntries(),
      inDoubtMilliseconds: fence === 1 ? 0 : LEASE_MILLISECONDS + 200,
    });
    this.#checkShownJobs();
    this.#tellRequests();
  }

  /** Sets what goes wrong from now on; what is on its way goes on as it was. */
  setFaults(faults: SimulationFaults): void {
    this.#faults = faults;
  }

  /** Ends all faults; what is on its way may still come late. */
  clearFaults(): void {
    this.setFaults({ lostFraction: 0, lateFraction: 0, failingFraction: 0 });
  }

  /** Checks that nothing waits any more, and that every lasting task runs. */
  checkJobsServed(): void {
    this.#checks.checkJobsServed((id) => this.#owner?.getJobState(id));
  }

  /** Checks that the owner knows every executor that lives: it can start nothing on the others. */
  checkExecutorsKnown(): void {
    const known = this.#owner?.getSummary()["executors"] ?? 0;
    // The owner can't know yet of those that have just begun.
    const listedBefore = this.#now - LISTING_MILLISECONDS - STEP_MILLISECONDS;
    const living = [...this.#entries.values()]
      .filter(({ born }) => born < FIRST_BIRTH_MILLISECONDS + listedBefore).length;
    if (known < living) {
      this.#checks.addViolation("LOST", `${living - known} executors are ignored`);
    }
  }

  /** Lets time pass. */
  run(milliseconds: number): void {
    const end = this.#now + milliseconds;
    for (let tickAt = this.#now; tickAt < end; tickAt += STEP_MILLISECONDS) {
      while (this.#events.runNext(tickAt)) { /* Each event sets the time itself. */ }
      this.#now = tickAt;
      this.#provider.advance(tickAt);
      for (const model of this.#models.values()) {
        model.advance(tickAt);
        if (model.isLeaseExpired(tickAt)) this.#checks.addLostEnds(model.getUnacknowledgedTasks());
        for (const run of model.running.values()) {
          if (model.isAvailable(run, tickAt)) this.#checks.addAvailableTask(run.task);
        }
      }
      const pooled = this.#provider.list().filter(({ pool }) => !this.#isSpare(pool));
      this.pooledHostMilliseconds += pooled.length * STEP_MILLISECONDS;
      this.#withOwner((owner) => owner.tick());
      this.#check();
    }
    this.#now = end;
  }

  /** Gets what callers are told of a job. */
  getJobState(id: string): string | undefined {
    return this.#owner?.getJobState(id);
  }

  /** Gets the number of a queue's jobs that callers are told wait. */
  getWaitingCount(queue: string): number {
    return this.#owner?.getWaitingCount(queue) ?? 0;
  }

  #withOwner(act: (owner: FleetOwner) => void): void {
    const owner = this.#owner!;
    owner.setContext({
      now: this.#now,
      timeOfDay: this.#getTimeOfDay(),
      renewal: this.#getClaim()?.renewal ?? 0,
      mayStart: true,
      mayExtend: true,
      leaseMilliseconds: LEASE_MILLISECONDS,
    });
    act(owner);
    owner.flush();
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
          (model) => this.#isRefused() ? OrderOutcome.Unwell : model.start(order, this.#now),
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
      poll: (order) => {
        const sentAt = this.#now;
        let report: ReturnType<ExecutorModel["poll"]>;
        this.#send(order.executor, (model) => {
          report = model.poll(order, this.#now);
          const { falsifiedInput: lies } = this.#options;
          if (report !== undefined && lies?.report !== undefined) report = lies.report(report);
          return report === undefined ? OrderOutcome.Fenced : OrderOutcome.Done;
        }, (outcome) =>
          answer((owner) =>
            owner.handlePollAnswer(
              order.executor.id,
              sentAt,
              outcome === OrderOutcome.Done && report !== undefined
                ? { outcome, report }
                : { outcome: OrderOutcome.Unanswered },
            )
          ));
      },
      askAdvice: () => {},
      listHosts: () => {
        if (this.#options.hosts === undefined) return;
        const readSince = this.#now;
        this.#readList((hosts) => answer((owner) => owner.setHosts(hosts, readSince)));
      },
      maintain: (order) =>
        this.#schedule(1 + this.#random() * 8, () => {
          const outcome = this.#provider.maintain(order, order.wave, this.#now);
          this.#checkWave(order.wave);
          answer((owner) => owner.handleMaintainAnswer(order, outcome));
        }),
      move: (order) =>
        this.#schedule(1 + this.#random() * 8, () => {
          const outcome = this.#provider.move(order, order.pool, this.#now);
          answer((owner) => owner.handleMoveAnswer(order, outcome));
        }),
      writeStatus: (wave, isCompleted) => {
        if (isCompleted) this.#completedWaves.add(wave);
        else this.#completedWaves.delete(wave);
        if (isCompleted) this.#checkCompleted(wave);
      },
      write: (entries, onStored) => {
        // Appends are stored in the order in which they were sent.
        this.#storedAt = Math.max(this.#storedAt, this.#now + 3 + this.#random() * 8);
        this.#schedule(this.#storedAt - this.#now, () => {
          if (!isCurrent()) return;
          for (const entry of entries) this.#store(entry);
          this.#answerAppend(() => {
            if (isCurrent()) this.#withOwner(() => onStored());
          });
        });
      },
    };
  }

  /** Reads the provider's list, in pages where it has such. */
  #readList(handle: (hosts: Host[]) => void): void {
    const { listing } = this.#options;
    if (listing === undefined) {
      this.#schedule(1 + this.#random() * 8, () => handle(this.#provider.list()));
      return;
    }
    const read: Host[] = [];
    const readPage = (from: number) =>
      this.#schedule(1 + this.#random() * listing.pageMilliseconds, () => {
        const { hosts, next } = this.#provider.listPage(from, listing.pageHosts);
        read.push(...hosts);
        if (next !== undefined) return readPage(next);
        this.#schedule(this.#random() * listing.pageMilliseconds, () => handle(read));
      });
    readPage(0);
  }

  #store(entry: JournalEntry): void {
    if (entry.value === undefined) this.#journal.delete(entry.key);
    else this.#journal.set(entry.key, entry.value);
  }

  /** Tells that an append is stored: in order, and late where its first answer is lost. */
  #answerAppend(answer: () => void): void {
    const { lateAppendFraction: lateAppendPart = 0 } = this.#faults;
    const isLate = this.#journalRandom() < lateAppendPart;
    if (isLate) this.#count("late-append");
    const delay = isLate ? this.#journalRandom() * APPEND_TIMEOUT_MILLISECONDS : 0;
    this.#toldStoredAt = Math.max(this.#toldStoredAt, this.#now + delay);
    if (this.#toldStoredAt === this.#now) return answer();
    this.#schedule(this.#toldStoredAt - this.#now, answer);
  }

  /** Carries an order to the life of an executor that it is meant for; answers and orders get lost. */
  #send(
    entry: ExecutorEntry,
    act: (model: ExecutorModel) => OrderOutcome,
    answer: (outcome: OrderOutcome) => void,
  ): void {
    const { lostFraction: lostPart, lateFraction: latePart } = this.#faults;
    const deliver = (): OrderOutcome => {
      const model = this.#models.get(entry.id);
      const isSameLife = this.#entries.get(entry.id)?.born === entry.born;
      return model === undefined || !isSameLife ? OrderOutcome.WrongIncarnation : act(model);
    };
    const there = 1 + this.#random() * 4;
    if (this.#options.staleEntryMilliseconds !== undefined && !this.#models.has(entry.id)) {
      this.#schedule(ORDER_TIMEOUT_MILLISECONDS, () => answer(OrderOutcome.Unanswered));
      return;
    }
    if (this.#random() < lostPart) {
      this.#count("lost");
      this.#starts.addFault(this.#now);
      const isLate = this.#random() < latePart;
      if (isLate) {
        this.#schedule(2_000 + this.#random() * 10_000, () => {
          this.#isDeliveringLate = true;
          this.#starts.addFault(this.#now);
          deliver();
          this.#isDeliveringLate = false;
        });
      }
      if (!isLate && this.#random() < 0.5) this.#schedule(there, () => void deliver());
      this.#schedule(ORDER_TIMEOUT_MILLISECONDS, () => answer(OrderOutcome.Unanswered));
      return;
    }
    this.#schedule(there, () => {
      const outcome = deliver();
      const { delayMilliseconds } = this.#faults;
      const delay = delayMilliseconds === undefined ? 0 : this.#random() * delayMilliseconds;
      if (delay > 0) this.#starts.addFault(this.#now + delay);
      this.#schedule(1 + this.#random() * 4 + delay, () => answer(outcome));
    });
  }

  #schedule(delay: number, run: () => void): void {
    const at = this.#now + delay;
    this.#events.addAt(at, () => {
      this.#now = at;
      run();
    });
  }

  #createModel(entry: ExecutorEntry): ExecutorModel {
    return ExecutorModel.create({
      capacity: entry.capacity,
      born: entry.born,
      startedAt: this.#now,
      stopMilliseconds: STOP_MILLISECONDS,
      startupMilliseconds: 200,
      planRun: this.#options.planRun ?? ((task) => this.#planRun(task)),
      onStart: (run) => {
        this.#count("started");
        this.#checks.handleStart(this.#entries.get(entry.id) ?? entry, run, {
          now: this.#now,
          isLate: this.#isDeliveringLate,
        });
      },
      onEnd: (run, end, isAtWork) => {
        this.#count(end);
        this.#starts.addEnd(run.task, end);
        this.#checks.handleEnd(run, end, this.#now, isAtWork);
      },
    });
  }

  #planRun(task: string): RunPlan {
    const step = this.#checks.getStep(task);
    const isFailing = this.#random() < this.#faults.failingFraction;
    if (step?.isLasting && !isFailing) return { durationMilliseconds: Infinity, end: RunEnd.Done };
    const milliseconds = (step?.estimatedMilliseconds ?? 100) * (0.5 + this.#random());
    return { durationMilliseconds: milliseconds, end: isFailing ? RunEnd.Failed : RunEnd.Done };
  }

  #getTimeOfDay(): number {
    return this.#now + (this.#options.getClockOffset?.(this.#fence) ?? 0);
  }

  #checkShownJobs(): void {
    this.#checks.checkJobStates((id) => this.#owner?.getJobState(id));
  }

  #check(): void {
    this.#checkShownJobs();
    this.#checks.checkWaitingCounts(
      (queue) => this.getWaitingCount(queue),
      (id) => this.getJobState(id),
      this.#now,
    );
    this.#checks.checkCapacity(this.#models, this.#entries);
    this.#starts.check({
      now: this.#now,
      models: this.#models,
      entries: this.#entries,
      evacuatedZones: this.#evacuatedZones,
      getJobState: (id) => this.#owner?.getJobState(id),
    });
    for (const wave of this.#completedWaves) {
      const changedAt = this.#wavesChangedAt.get(wave)!;
      if (this.#now - changedAt > REOPENING_MILLISECONDS) this.#checkCompleted(wave);
    }
  }

  #isRefused(): boolean {
    const { refusedFraction: refusedPart = 0 } = this.#faults;
    return refusedPart > 0 && this.#random() < refusedPart;
  }

  /** Ends the executor of a host that is taken away, with all that runs there. */
  #takeExecutor(host: Host): void {
    const model = this.#models.get(host.executorId);
    if (model === undefined) return;
    const runs = [...model.running.values()].map((run): [ModelRun, boolean] => [
      run,
      model.isAvailable(run, this.#now),
    ]);
    this.#checks.handleHostOutOfService(runs, this.#now);
    this.#checks.addLostEnds(model.getUnacknowledgedTasks());
    this.#models.delete(host.executorId);
    this.#linger(this.#entries.get(host.executorId)!);
    this.#entries.delete(host.executorId);
    this.#tellExecutors();
  }

  /** Ends an executor whose host has left, with all that runs there. */
  #loseExecutor(id: string): void {
    this.#starts.addFault(this.#now);
    this.#endRuns(id);
    this.#models.delete(id);
    this.#entries.delete(id);
    this.#tellExecutors();
  }

  #endRuns(id: string): void {
    const model = this.#models.get(id);
    if (model === undefined) return;
    for (const run of model.running.values()) {
      this.#checks.handleEnd(
        run,
        RunEnd.LeaseExpired,
        this.#now,
        model.isAvailable(run, this.#now),
      );
    }
    this.#checks.addLostEnds(model.getUnacknowledgedTasks());
  }

  /** Lets the list name an executor that is gone for a while. */
  #linger(entry: ExecutorEntry): void {
    const { staleEntryMilliseconds: lingerMilliseconds } = this.#options;
    if (lingerMilliseconds === undefined) return;
    this.#lingering.set(entry.id, entry);
    this.#schedule(this.#random() * lingerMilliseconds, () => {
      this.#lingering.delete(entry.id);
      this.#tellExecutors();
    });
  }

  /** Starts an executor on a host that is back, unless its pool is a spare one. */
  #createExecutor(host: Host): string {
    if (this.#isSpare(host.pool)) return "";
    this.#lives += 1;
    const id = `${host.name}-${this.#lives}`;
    const entry: ExecutorEntry = {
      id,
      born: FIRST_BIRTH_MILLISECONDS + this.#now,
      service: host.pool,
      address: `${host.name}:80`,
      zone: host.zone,
      host: host.name,
      labels: ["a", `rack-${host.zone}`],
      capacity: host.capacity,
      isDraining: false,
    };
    this.#entries.set(id, entry);
    this.#models.set(id, this.#createModel(entry));
    this.#tellExecutors();
    return id;
  }

  #isSpare(pool: string): boolean {
    return this.#options.configuration.services.some(({ name, isSpare }) =>
      name === pool && isSpare
    );
  }

  #checkWave(number: number): void {
    const wave = this.#waves.get(number);
    if (wave !== undefined && this.#provider.getCountUnderMaintenance() > wave.ceiling) {
      this.#checks.addViolation("LIMIT", `wave ${number} is above its ceiling`);
    }
  }

  /** Checks that every host of a wave that is shown as completed and stays has had its maintenance. */
  #checkCompleted(number: number): void {
    const left = this.#waves.get(number)?.hosts.filter((host) =>
      this.#provider.hasHost(host) && !this.#provider.wasMaintained(host, number)
    );
    if (left === undefined || left.length === 0) return;
    this.#checks.addViolation("MIXED", `wave ${number} is shown as completed without ${left}`);
  }

  /** Gets the present owner's claim; its renewals tell later ones how long it held. */
  #getClaim(): Claim | undefined {
    if (this.#owner === undefined) return undefined;
    return {
      epoch: this.#fence,
      holder: `holder-${this.#fence}`,
      hostName: "entry-1",
      address: "10.0.0.1:7000",
      isReleased: false,
      renewal: Math.floor((this.#now - this.#ownedSince) / RENEWAL_INTERVAL_MILLISECONDS),
    };
  }

  #count(kind: string): void {
    this.eventCounts[kind] = (this.eventCounts[kind] ?? 0) + 1;
  }

  #getToldEntries(): ExecutorEntry[] {
    const tell = this.#options.falsifiedInput?.entry ?? ((entry: ExecutorEntry) => entry);
    return [...this.#lingering.values(), ...this.#entries.values()]
      .filter(({ id }) => !this.#hidden.has(id)).map(tell);
  }

  #tellExecutors(): void {
    if (this.#owner === undefined) return;
    const entries = this.#getToldEntries();
    this.#schedule(
      LISTING_MILLISECONDS,
      () => this.#withOwner((owner) => owner.setExecutors(entries)),
    );
  }

  #tellRequests(): void {
    if (this.#options.falsifiedInput?.hidesEvacuation) return;
    const evacuatedZones = new Set(this.#evacuatedZones);
    const tell = this.#options.falsifiedInput?.wave ?? ((wave: MaintenanceWave) => wave);
    const waves = new Map([...this.#waves].map(([number, wave]) => [number, tell(wave)]));
    this.#withOwner((owner) => owner.setPlannedActions({ evacuatedZones, waves }));
  }

  /** Gets what a new owner finds in the journal. */
  #getStored(): [string, Uint8Array][] {
    const { losesJournal, losesHostOrders, stored } = this.#options.falsifiedInput ?? {};
    const found = [...this.#journal].filter(([key]) =>
      !(losesJournal === true && key.startsWith("progress/")) &&
      !(losesHostOrders === true && key.startsWith("host-order/"))
    );
    return stored === undefined ? found : stored(found);
  }
}

const IGNORE_EVENT: EventLog = () => {};

/** Creates a source of numbers from 0 to 1 that a seed decides. */
export function createRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}
