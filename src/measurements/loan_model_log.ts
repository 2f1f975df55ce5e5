/** The log of the loan model: rosters and limits by offset. */

import type { DepartingMember, RosterView } from "../contracts/roster_messages.ts";
import {
  getPoolKeeperKey,
  type LoanCatalog,
  type LoanResource,
} from "../contracts/loans/loan_resource.ts";

/** The longest run time in the model. */
export const MODEL_MAXIMUM_RUN_MILLISECONDS = 2_000;

/** What the log says at one offset. */
export interface ModelLogEntry {
  /** The roster. */
  roster: RosterView;
  /** The resources. */
  catalog: LoanCatalog;
}

/** The resource of the team in the model. */
export const MODEL_TEAM = "t:team";

/** The resource of the executor in the model, which moves between two pools. */
export const MODEL_EXECUTOR = "e:executor";

/** The resources of the model. */
export const MODEL_RESOURCES = [MODEL_TEAM, MODEL_EXECUTOR] as const;

/** Rosters and limits by offset; entries are only added. */
export class ModelLog {
  readonly #entries: ModelLogEntry[];

  private constructor(members: readonly string[]) {
    const team = createResource(MODEL_TEAM, MODEL_TEAM, 3);
    const executor = createResource(MODEL_EXECUTOR, getPoolKeeperKey("0"), 2);
    const resources = new Map([[MODEL_TEAM, team], [MODEL_EXECUTOR, executor]]);
    this.#entries = [{
      roster: { offset: 0, members, departing: [] },
      catalog: { offset: 0, resources, longestRunMilliseconds: MODEL_MAXIMUM_RUN_MILLISECONDS },
    }];
  }

  /** Creates a log with these members. */
  static create(members: readonly string[]): ModelLog {
    return new ModelLog(members);
  }

  /** Gets the newest entry. */
  getHead(): ModelLogEntry {
    return this.#entries.at(-1)!;
  }

  /** Gets the highest limit of a resource at an offset or later. */
  getHighestLimit(resource: string, from: number): number {
    const entries = this.#entries.slice(from);
    return Math.max(...entries.map((entry) => entry.catalog.resources.get(resource)!.limit));
  }

  /** Adds a member. */
  addMember(member: string): void {
    const { roster } = this.getHead();
    this.#append({ members: [...roster.members, member].sort() }, undefined);
  }

  /** Removes a member, whose removal is not in force yet. */
  removeMember(member: string): void {
    const { roster } = this.getHead();
    const departing: DepartingMember = {
      memberId: member,
      entryHost: member,
      removedAt: this.#entries.length,
      isInForce: false,
    };
    const members = roster.members.filter((other) => other !== member);
    this.#append({ members, departing: [...roster.departing, departing] }, undefined);
  }

  /** Changes the limit of the team. */
  setLimit(limit: number): void {
    const resource = createResource(MODEL_TEAM, MODEL_TEAM, limit, this.#entries.length);
    const { highestLimit } = this.getHead().catalog.resources.get(MODEL_TEAM)!;
    this.#append(undefined, { ...resource, highestLimit: Math.max(highestLimit, limit) });
  }

  /** Moves the executor to another pool. */
  moveExecutor(pool: string): void {
    const keeperKey = getPoolKeeperKey(pool);
    const offset = this.#entries.length;
    this.#append(undefined, createResource(MODEL_EXECUTOR, keeperKey, 2, offset));
  }

  #append(roster: Partial<RosterView> | undefined, resource: LoanResource | undefined): void {
    const head = this.getHead();
    const offset = this.#entries.length;
    const resources = new Map(head.catalog.resources);
    if (resource !== undefined) resources.set(resource.name, resource);
    this.#entries.push({
      roster: roster === undefined ? head.roster : { ...head.roster, ...roster, offset },
      catalog: { ...head.catalog, offset, resources },
    });
  }
}

function createResource(
  name: string,
  keeperKey: string,
  limit: number,
  limitOffset = 0,
): LoanResource {
  return { name, keeperKey, keeperOffset: limitOffset, limit, highestLimit: limit, limitOffset };
}
