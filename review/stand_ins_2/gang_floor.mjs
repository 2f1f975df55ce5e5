/**
 * What the workers of a deployment know together of the gangs on them: PROTOCOL.md, "the tasks work
 * only together, starting from the moment when all tasks of one run are present, and ... they end
 * `done` together", and "The value from any member of a gang is valid for that gang, and all must carry
 * the same value": members that were started from different checkpoints don't get to work.
 */
export class GangFloor {
  #size;
  #workMilliseconds;
  #waitMilliseconds;
  #checkpointMilliseconds;
  #gangs = new Map();

  constructor({ size, workMilliseconds, waitMilliseconds, checkpointMilliseconds }) {
    this.#size = size;
    this.#workMilliseconds = workMilliseconds;
    this.#waitMilliseconds = waitMilliseconds;
    this.#checkpointMilliseconds = checkpointMilliseconds;
  }

  /** Adds a run that has started; `run.checkpoint` is what its order carried. */
  join(run) {
    const gang = this.#gangs.get(run.run) ?? { members: new Set(), workingSince: undefined };
    this.#gangs.set(run.run, gang);
    gang.members.add(run);
    run.joinedAt = performance.now();
    if (gang.isBroken) run.end = "broken";
    const checkpoints = new Set([...gang.members].map(({ checkpoint }) => checkpoint));
    if (gang.members.size < this.#size || checkpoints.size > 1) return;
    gang.workingSince = performance.now();
  }

  /** Gets how a run ends now, or undefined. */
  getEnd(run) {
    if (run.end !== undefined) return run.end;
    const { workingSince } = this.#gangs.get(run.run);
    const now = performance.now();
    if (workingSince === undefined) {
      return now - run.joinedAt > this.#waitMilliseconds ? "alone" : undefined;
    }
    const left = this.#workMilliseconds - getProgress(run.checkpoint);
    return now - workingSince > left ? "done" : undefined;
  }

  /** Gets the newest checkpoint of a run: the milliseconds of work that it has saved. */
  getCheckpoint(run) {
    const { workingSince } = this.#gangs.get(run.run);
    if (workingSince === undefined) return run.checkpoint;
    const periods = Math.floor((performance.now() - workingSince) / this.#checkpointMilliseconds);
    if (periods === 0) return run.checkpoint;
    const saved = getProgress(run.checkpoint) + periods * this.#checkpointMilliseconds;
    return saved.toString(16).padStart(8, "0");
  }

  /** Removes a run that has ended; unless it is done, the other members end too. */
  leave(run, how) {
    const gang = this.#gangs.get(run.run);
    gang.members.delete(run);
    if (how === "done" || how === "alone" || gang.workingSince === undefined) return;
    gang.isBroken = true;
    for (const other of gang.members) other.end = "broken";
  }
}

function getProgress(checkpoint) {
  return checkpoint === "" ? 0 : Number.parseInt(checkpoint, 16);
}
