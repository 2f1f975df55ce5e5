/** What a worker does, apart from its sockets and clock: attempts under leases, and ordered faults. */

import {
  type AttemptId,
  type AttemptReport,
  AttemptState,
  type StartCall,
  type WorkerAnswer,
  type WorkerCall,
} from "../jobs/worker_protocol.ts";

/** What a worker can be ordered to do. */
export const WorkerFault = {
  None: "none",
  /** Every attempt fails as soon as it starts. */
  FailAll: "fail-all",
  /** Calls take effect and their answers are lost. */
  LoseAnswers: "lose-answers",
  /** Leases lapse at once, as if their holder were paused. */
  LapseLeases: "lapse-leases",
  /** Attempts never end by themselves. */
  NeverEnd: "never-end",
  /** Attempts take ten times longer. */
  Slow: "slow",
} as const;

/** One of the faults of a worker. */
export type WorkerFault = (typeof WorkerFault)[keyof typeof WorkerFault];

/** What a task does at a stand-in; the payload of its job as JSON. */
export interface TaskBehaviour {
  /** How long it runs. */
  runMilliseconds: number;
  /** The cores that it uses. */
  cores: number;
  /** The memory that it uses, in gigabytes. */
  memoryGigabytes: number;
  /** Whether it fails at its end. */
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

/** Decides if a call may start an attempt, when the worker knows another of the task or none. */
export type MayStart = (known: ModelAttempt | undefined, call: StartCall) => boolean;

/** The fence: only an attempt newer than every one that the worker knows may start. */
export const mayStartNewer: MayStart = (known, call) =>
  known === undefined || known.attempt < call.attempt;

/** Options of a `WorkerModel`. */
export interface WorkerModelOptions {
  /** The identity of the process. */
  incarnation: string;
  /** By how much reports of usage lag. */
  usageLagMilliseconds: number;
  /** How often it saves the state of its attempts by itself. */
  checkpointMilliseconds: number;
  /** The fence. */
  mayStart: MayStart;
}

/** The time of a slow attempt, as a multiple. */
const SLOW_RATIO = 10;

/** Runs attempts; the time is an argument of every method. */
export class WorkerModel {
  readonly #options: WorkerModelOptions;
  readonly #attempts = new Map<string, ModelAttempt>();
  readonly #runs = new Map<string, number>();
  #fault: WorkerFault = WorkerFault.None;

  private constructor(options: WorkerModelOptions) {
    this.#options = options;
  }

  /** Creates the model of a worker's process. */
  static create(options: WorkerModelOptions): WorkerModel {
    return new WorkerModel(options);
  }

  /** Orders a fault. */
  setFault(fault: WorkerFault): void {
    this.#fault = fault;
  }

  /** Gets the fault in force. */
  getFault(): WorkerFault {
    return this.#fault;
  }

  /** Gets how often each attempt was run, by task id and attempt number. */
  getRunCounts(): ReadonlyMap<string, number> {
    return this.#runs;
  }

  /** Gets the attempts that run. */
  getRunning(now: number): ModelAttempt[] {
    this.#advance(now);
    return [...this.#attempts.values()].filter(({ state }) => state === AttemptState.Running);
  }

  /** Handles a call. */
  handle(call: WorkerCall, now: number): WorkerAnswer {
    this.#advance(now);
    const reports = this.#act(call, now);
    return { incarnation: this.#options.incarnation, reports };
  }

  #act(call: WorkerCall, now: number): AttemptReport[] {
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
    this.#runs.set(key, (this.#runs.get(key) ?? 0) + 1);
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

  /** Ends what has ended and lapsed by now. */
  #advance(now: number): void {
    for (const attempt of this.#attempts.values()) {
      if (attempt.state !== AttemptState.Running) continue;
      const isLapsed = attempt.leaseUntil <= now || this.#fault === WorkerFault.LapseLeases;
      if (isLapsed) attempt.state = AttemptState.Lapsed;
      else this.#advanceAttempt(attempt, now);
    }
  }

  #advanceAttempt(attempt: ModelAttempt, now: number): void {
    const run = now - attempt.startedAt;
    if (run >= this.#options.checkpointMilliseconds) this.#save(attempt, now);
    if (this.#fault === WorkerFault.NeverEnd) return;
    const { runMilliseconds, isFailing } = attempt.behaviour;
    const needed = runMilliseconds * (this.#fault === WorkerFault.Slow ? SLOW_RATIO : 1);
    if (attempt.savedMilliseconds + now - attempt.startedAt < needed) return;
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
