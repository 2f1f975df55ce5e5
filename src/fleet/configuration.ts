/** The configuration that operators publish: immutable versions of queues, services and customers. */

import type { Resources } from "./resources.ts";

/** The timings of the adviser protocol, which determines the executors that may run a step. */
export interface AdviceTimings {
  /** The time that the adviser takes to answer a request, in milliseconds. */
  decideMilliseconds: number;
  /** The additional time for each executor in the request, in milliseconds. */
  eachMilliseconds: number;
  /** How long a ticket is valid, in milliseconds. */
  validMilliseconds: number;
}

/** A job queue, addressed by callers with a host name and a path. */
export interface Queue {
  /** The name, unique within a configuration. */
  name: string;
  /** The value of the `Host` header. */
  host: string;
  /** The path prefix; the longest matching prefix wins. */
  pathPrefix: string;
  /** The name of the service whose executors run the tasks. */
  service: string;
  /** The priority; 0 is the highest. */
  priority: number;
  /** The number of failed runs of one task after which the job fails. */
  attemptLimit: number;
  /**
   * The factor by which the duration of the critical path counts in the completion-time objective:
   * `stretch` * critical path + `objectiveMilliseconds`.
   */
  stretch: number;
  /** The constant part of the completion-time objective, in milliseconds. */
  objectiveMilliseconds: number;
  /** Whether calls are accepted without a key. */
  isPublic: boolean;
  /** The timings of the adviser, if it determines the executors that may run a step. */
  advice?: AdviceTimings | undefined;
}

/** A service and its pool of executors. */
export interface Service {
  /** The name. */
  name: string;
  /** Whether its executors themselves reject runs that exceed their capacity. */
  isGuarded: boolean;
  /** Whether this is the spare pool, whose hosts are powered off and cost nothing. */
  isSpare: boolean;
}

/** A customer with its keys, weight and resource limit. */
export interface Customer {
  /** The name. */
  name: string;
  /** The API keys that are currently valid. */
  keys: readonly string[];
  /** The weight of its share under contention. */
  weight: number;
  /** The limit of the resources that its running tasks use in total; 0 means no limit. */
  ceiling: Resources;
}

/** Data of a `Configuration`. */
export interface ConfigurationData {
  /** The version, which increases with each change. */
  version: number;
  /** The queues. */
  queues: readonly Queue[];
  /** The services. */
  services: readonly Service[];
  /** The customers. */
  customers: readonly Customer[];
  /** The maximum size of a request body, in bytes. */
  largestBodyBytes: number;
}

/** A version of the configuration, indexed for look-ups by calls. */
export class Configuration {
  /** The version. */
  readonly version: number;
  /** The services by name. */
  readonly services: ReadonlyMap<string, Service>;
  /** The customers by name. */
  readonly customers: ReadonlyMap<string, Customer>;
  /** The maximum size of a request body, in bytes. */
  readonly largestBodyBytes: number;
  readonly #queuesByHost = new Map<string, Queue[]>();
  readonly #queues = new Map<string, Queue>();
  readonly #customersByKey = new Map<string, Customer>();

  private constructor(data: ConfigurationData) {
    this.version = data.version;
    this.largestBodyBytes = data.largestBodyBytes;
    this.services = new Map(data.services.map((service) => [service.name, service]));
    this.customers = new Map(data.customers.map((customer) => [customer.name, customer]));
    for (const queue of data.queues) this.#addQueue(queue);
    for (const queues of this.#queuesByHost.values()) {
      queues.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length);
    }
    for (const customer of data.customers) {
      for (const key of customer.keys) this.#customersByKey.set(key, customer);
    }
  }

  static create(data: ConfigurationData): Configuration {
    return new Configuration(data);
  }

  /** Gets a queue by name. */
  getQueue(name: string): Queue | undefined {
    return this.#queues.get(name);
  }

  /** Gets all queues. */
  getQueues(): Iterable<Queue> {
    return this.#queues.values();
  }

  /** Finds the queue of a host name with the longest prefix that matches a path. */
  findQueue(host: string, path: string): Queue | undefined {
    return this.#queuesByHost.get(host)?.find((queue) => path.startsWith(queue.pathPrefix));
  }

  /** Finds the customer that a key belongs to. */
  findCustomer(key: string): Customer | undefined {
    return this.#customersByKey.get(key);
  }

  #addQueue(queue: Queue): void {
    this.#queues.set(queue.name, queue);
    const queues = this.#queuesByHost.get(queue.host) ?? [];
    queues.push(queue);
    this.#queuesByHost.set(queue.host, queues);
  }
}
