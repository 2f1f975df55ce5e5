/** A model of a worker without sockets and clock: attempts under leases, and injected faults. */

import {
  type AttemptId,
  type AttemptReport,
  AttemptState,
  type StartCall,
  type WorkerAnswer,
  type WorkerCall,
} from "../jobs/worker_protocol.ts";

/** The faults that can be injected into a worker. */
export const WorkerFault = {
  None: "none",
  /** Every attempt fails at its start. */
  FailAll: "fail-all",
  /** Calls take effect but get no response. */
  LoseAnswers: "lose-answers",
  /** Leases expire at once, as if their holder were paused. */
  LapseLeases: "lapse-leases",
  /** Attempts never complete. */
  NeverEnd: "never-end",
  /** Attempts take ten times longer. */
  Slow: "slow",
} as const;

/** One of the faults of a worker. */
export type WorkerFault = (typeof WorkerFault)[keyof typeof WorkerFault];

/** The behaviour of a task at a stand-in: the payload of its job, as JSON. */
export interface TaskBehaviour {
  /** The run time. */
  runMilliseconds: number;
  /** The number of cores in use. */
  cores: number;
  /** The memory in use, in gigabytes. */
  memoryGigabytes: number;
  /** Whether it fails at the end of its run time. */
  isFailing: boolean;
}

/** An attempt at a worker. */
export interface ModelAttempt {
  taskId: string;
  attempt: number;
  state: AttemptState;
  behaviour: TaskBehaviour;
  startedAt: number;
  savedMilliseconds: number;
  checkpoint: string | undefined;
  leaseUntil: number;
  coreLimit: number;
}

/** Decides whether a call may start an attempt, given the attempt of the same task that the worker knows, if any. */
export type MayStart = (known: ModelAttempt | undefined, call: StartCall) => boolean;

/** The fencing rule: an attempt may start only if it is newer than the known one of its task. */
export const mayStartNewer: MayStart = (known, call) =>
  known === undefined || known.attempt < call.attempt;

/** Options of a `WorkerModel`. */
export interface WorkerModelOptions {
  /** The incarnation of the worker's process. */
  incarnation: string;
  /** The age of the usage in reports. */
  usageLagMilliseconds: number;
  /** The interval of automatic checkpoints. */
  checkpointMilliseconds: number;
  /** The fencing rule. */
  mayStart: MayStart;
}

/** The run time of a slow attempt as a multiple of its normal run time. */
const SLOW_FACTOR = 10;

/** Simulates attempts; every method that depends on time gets it as an argument. */
export class WorkerModel {
  readonly #options: WorkerModelOptions;
  readonly #attempts = new Map<string, ModelAttempt>();
  readonly #runCounts = new Map<string, number>();
  #fault: WorkerFault = WorkerFault.None;

  private constructor(options: WorkerModelOptions) {
    this.#options = options;
  }

  /** Creates the model of one process of a worker. */
  static create(options: WorkerModelOptions): WorkerModel {
    return new WorkerModel(options);
  }

  /** Sets the fault. */
  setFault(fault: WorkerFault): void {
    this.#fault = fault;
  }

  /** Gets the current fault. */
  getFault(): WorkerFault {
    return this.#fault;
  }

  /** Gets the number of runs of each attempt, by task id and attempt number. */
  getRunCounts(): ReadonlyMap<string, number> {
    return this.#runCounts;
  }

  /** Gets the running attempts. */
  getRunning(now: number): ModelAttempt[] {
    this.#advance(now);
    return [...this.#attempts.values()].filter(({ state }) => state === AttemptState.Running);
  }

  /** Handles a call. */
  handle(call: WorkerCall, now: number): WorkerAnswer {
    this.#advance(now);
    const reports = this.#execute(call, now);
    return { incarnation: this.#options.incarnation, reports };
  }

  #execute(call: WorkerCall, now: number): AttemptReport[] {
    switch (call.kind) {
      case "start":
        this.#start(call, now);
        return [this.#report(call, now)];
      case "renew":
        for (const name of call.attempts) this.#renew(name, now + call.leaseMilliseconds);
        return call.attempts.map((name) => this.#report(name, now));
      case "status":
        return this.getRunning(now).map((attempt) => this.#report(attempt, now));
      case "checkpoint":
        this.#save(this.#getRunning(call), now);
        return [this.#report(call, now)];
      case "throttle":
        this.#throttle(call, call.cores);
        return [this.#report(call, now)];
      case "fence":
        this.#fence(call, now);
        return [this.#report(call, now)];
      case "stop":
        this.#stop(call, call.withCheckpoint, now);
        return [this.#report(call, now)];
    }
  }

  #start(call: StartCall, now: number): void {
    if (call.incarnation !== this.#options.incarnation) return;
    const known = this.#attempts.get(call.taskId);
    if (!this.#options.mayStart(known, call)) return;
    const key = `${call.taskId}#${call.attempt}`;
    this.#runCounts.set(key, (this.#runCounts.get(key) ?? 0) + 1);
    this.#attempts.set(call.taskId, {
      taskId: call.taskId,
      attempt: call.attempt,
      state: this.#fault === WorkerFault.FailAll ? AttemptState.Failed : AttemptState.Running,
      behaviour: parseBehaviour(call),
      startedAt: now,
      savedMilliseconds: Number(call.checkpoint?.split("@").at(-1) ?? 0),
      checkpoint: call.checkpoint,
      leaseUntil: now + call.leaseMilliseconds,
      coreLimit: Infinity,
    });
  }

  #renew(name: AttemptId, until: number): void {
    const attempt = this.#getRunning(name);
    if (attempt !== undefined) attempt.leaseUntil = until;
  }

  #throttle(name: AttemptId, cores: number): void {
    const attempt = this.#getRunning(name);
    if (attempt !== undefined) attempt.coreLimit = cores;
  }

  #fence(name: AttemptId, now: number): void {
    const known = this.#attempts.get(name.taskId);
    if (known !== undefined && known.attempt >= name.attempt) return;
    this.#attempts.set(name.taskId, {
      ...name,
      taskId: name.taskId,
      attempt: name.attempt,
      state: AttemptState.Fenced,
      behaviour: { runMilliseconds: 0, cores: 0, memoryGigabytes: 0, isFailing: false },
      startedAt: now,
      savedMilliseconds: 0,
      checkpoint: undefined,
      leaseUntil: now,
      coreLimit: 0,
    });
  }

  #stop(name: AttemptId, withCheckpoint: boolean, now: number): void {
    this.#fence(name, now);
    const attempt = this.#getRunning(name);
    if (attempt === undefined) return;
    if (withCheckpoint) this.#save(attempt, now);
    attempt.state = AttemptState.Stopped;
  }

  #getRunning(name: AttemptId): ModelAttempt | undefined {
    const known = this.#attempts.get(name.taskId);
    const isRunning = known?.attempt === name.attempt && known.state === AttemptState.Running;
    return isRunning ? known : undefined;
  }

  #save(attempt: ModelAttempt | undefined, now: number): void {
    if (attempt === undefined) return;
    attempt.savedMilliseconds += now - attempt.startedAt;
    attempt.startedAt = now;
    attempt.checkpoint = `${attempt.taskId}@${attempt.savedMilliseconds}`;
  }

  /** Ends the attempts that have completed or whose lease has expired. */
  #advance(now: number): void {
    for (const attempt of this.#attempts.values()) {
      if (attempt.state !== AttemptState.Running) continue;
      const isExpired = attempt.leaseUntil <= now || this.#fault === WorkerFault.LapseLeases;
      if (isExpired) attempt.state = AttemptState.Lapsed;
      else this.#advanceAttempt(attempt, now);
    }
  }

  #advanceAttempt(attempt: ModelAttempt, now: number): void {
    const elapsed = now - attempt.startedAt;
    if (elapsed >= this.#options.checkpointMilliseconds) this.#save(attempt, now);
    if (this.#fault === WorkerFault.NeverEnd) return;
    const { runMilliseconds, isFailing } = attempt.behaviour;
    const required = runMilliseconds * (this.#fault === WorkerFault.Slow ? SLOW_FACTOR : 1);
    if (attempt.savedMilliseconds + now - attempt.startedAt < required) return;
    attempt.state = isFailing ? AttemptState.Failed : AttemptState.Completed;
  }

  #report({ taskId, attempt }: AttemptId, now: number): AttemptReport {
    const known = this.#attempts.get(taskId);
    if (known === undefined || known.attempt < attempt) {
      return { taskId, attempt, state: AttemptState.Unknown };
    }
    if (known.attempt > attempt) return { taskId, attempt, state: AttemptState.Superseded };
    if (known.state === AttemptState.Fenced) return { taskId, attempt, state: known.state };
    const { state, behaviour, checkpoint } = known;
    const unsavedMilliseconds = now - known.startedAt;
    const measuredAgoMilliseconds = this.#options.usageLagMilliseconds;
    const usage = {
      cores: Math.min(behaviour.cores, known.coreLimit),
      memoryGigabytes: behaviour.memoryGigabytes,
      runMilliseconds: known.savedMilliseconds + unsavedMilliseconds,
      measuredAgoMilliseconds,
    };
    return { taskId, attempt, state, usage, checkpoint, unsavedMilliseconds };
  }
}

function parseBehaviour(call: StartCall): TaskBehaviour {
  const { cores, memoryGigabytes } = call.reserved;
  const declared = { runMilliseconds: 0, cores, memoryGigabytes, isFailing: false };
  if (!call.payload.startsWith("{")) return declared;
  return { ...declared, ...JSON.parse(call.payload) as Partial<TaskBehaviour> };
}
