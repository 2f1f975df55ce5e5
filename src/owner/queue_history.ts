/** The queues by name, including removed ones, and the services that may run their tasks. */

import type { Queue } from "../fleet/configuration.ts";
import type { JournalEntry } from "./owner_ports.ts";
import { createQueueEntry, type StoredQueue } from "./queue_records.ts";

const NO_SERVICES: ReadonlySet<string> = new Set();

/** A journal entry that records a queue. */
export interface QueueEntry {
  /** The entry. */
  entry: JournalEntry;
  /** Called once it is stored. */
  onStored: () => void;
  /** Called if it turns out not to be storable. */
  onRejected: () => void;
}

/**
 * Remembers queues and their earlier services: a task that was started before a queue was sent to
 * another service runs on at the earlier one.
 */
export class QueueHistory {
  readonly #queues = new Map<string, Queue>();
  /** The services that may run tasks of a queue, by its name. */
  readonly #services = new Map<string, ReadonlySet<string>>();
  /** The services in the stored record of a queue, by its name. */
  readonly #storedServices = new Map<string, ReadonlySet<string>>();
  /** The queues as last sent to the journal, by name. */
  readonly #writtenQueues = new Map<string, Queue>();

  private constructor() {}

  /** Creates a history without queues. */
  static create(): QueueHistory {
    return new QueueHistory();
  }

  /** Adds a queue that was read from the journal. */
  addStored({ queue, services }: StoredQueue): void {
    this.#queues.set(queue.name, queue);
    this.#services.set(queue.name, new Set(services));
    this.#storedServices.set(queue.name, new Set(services));
  }

  /** Sets a queue as it is configured now. */
  set(queue: Queue): void {
    this.#queues.set(queue.name, queue);
    this.#services.set(queue.name, new Set([...this.getServices(queue.name), queue.service]));
  }

  /** Gets a queue by name as it was last configured. */
  get(name: string): Queue | undefined {
    return this.#queues.get(name);
  }

  /** Gets the services that may run tasks of a queue; none if the queue is not known. */
  getServices(name: string): ReadonlySet<string> {
    return this.#services.get(name) ?? NO_SERVICES;
  }

  /** Gets whether a queue is not known, or its stored record has its present service. */
  isStored(name: string): boolean {
    const queue = this.#queues.get(name);
    return queue === undefined || this.#storedServices.get(name)?.has(queue.service) === true;
  }

  /**
   * Creates the entry of a queue, unless it is not known or this owner has written it as it is. The
   * entry keeps the earlier services that are in use.
   */
  createEntry(name: string, isInUse: (service: string) => boolean): QueueEntry | undefined {
    const queue = this.#queues.get(name);
    if (queue === undefined || this.#writtenQueues.get(name) === queue) return undefined;
    this.#writtenQueues.set(name, queue);
    const services = new Set(
      [...this.getServices(name)].filter((service) =>
        service === queue.service || isInUse(service)
      ),
    );
    this.#services.set(name, services);
    return {
      entry: createQueueEntry({ queue, services: [...services] }),
      onStored: () => this.#storedServices.set(name, services),
      onRejected: () => this.#writtenQueues.delete(name),
    };
  }
}
