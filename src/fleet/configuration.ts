/** What operators publish: queues, services and customers, as one immutable version. */

import type { Resources } from "./resources.ts";

/** How the executors that may run a step are asked for. */
export interface AdviceTerms {
  /** The adviser's time for a question, in milliseconds. */
  decideMilliseconds: number;
  /** The adviser's further time for each executor named, in milliseconds. */
  eachMilliseconds: number;
  /** How long a ticket is valid, in milliseconds. */
  validMilliseconds: number;
}

/** A queue of jobs, reached by callers under a host name and a path. */
export interface Queue {
  /** The name, unique in a configuration. */
  name: string;
  /** The value of the `Host` header. */
  host: string;
  /** The path's beginning; the longest that matches counts. */
  pathPrefix: string;
  /** The service whose executors run the tasks. */
  service: string;
  /** 0 is the most urgent. */
  priority: number;
  /** The runs of a task that may fail before its job has failed. */
  attemptLimit: number;
  /** The objective as a multiple of the longest chain of work. */
  stretch: number;
  /** What the objective adds to the chain, in milliseconds. */
  objectiveMilliseconds: number;
  /** Whether callers need no key. */
  isPublic: boolean;
  /** The adviser's terms, where only it knows the executors that may run a step. */
  advice?: AdviceTerms | undefined;
}

/** A service: a pool of executors. */
export interface Service {
  /** The name. */
  name: string;
  /** Whether its executors themselves refuse what does not fit. */
  isGuarded: boolean;
  /** Whether its hosts are off and cost nothing. */
  isSpare: boolean;
}

/** A customer with its keys, share and ceiling. */
export interface Customer {
  /** The name. */
  name: string;
  /** The keys that are valid now. */
  keys: readonly string[];
  /** The share when all is full. */
  weight: number;
  /** The most that it may have running over all executors; 0 means no limit. */
  ceiling: Resources;
}

/** Data of a `Configuration`. */
export interface ConfigurationData {
  /** Rises with each change. */
  version: number;
  /** The queues. */
  queues: readonly Queue[];
  /** The services. */
  services: readonly Service[];
  /** The customers. */
  customers: readonly Customer[];
  /** The largest body of a call, in bytes. */
  largestBodyBytes: number;
}

/** One version of the configuration, with the look-ups that calls need. */
export class Configuration {
  /** The version. */
  readonly version: number;
  /** The services by name. */
  readonly services: ReadonlyMap<string, Service>;
  /** The customers by name. */
  readonly customers: ReadonlyMap<string, Customer>;
  /** The largest body of a call, in bytes. */
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
    for (const customer of data.customers) {
      for (const key of customer.keys) this.#customersByKey.set(key, customer);
    }
  }

  /** Creates a configuration. */
  static create(data: ConfigurationData): Configuration {
    return new Configuration(data);
  }

  /** Gets the queue of a name. */
  getQueue(name: string): Queue | undefined {
    return this.#queues.get(name);
  }

  /** Gets all queues. */
  getQueues(): Iterable<Queue> {
    return this.#queues.values();
  }

  /** Gets the queue with the longest prefix that a path begins with. */
  findQueue(host: string, path: string): Queue | undefined {
    return this.#queuesByHost.get(host)?.find((queue) => path.startsWith(queue.pathPrefix));
  }

  /** Gets the customer that a key belongs to. */
  findCustomer(key: string): Customer | undefined {
    return this.#customersByKey.get(key);
  }

  #addQueue(queue: Queue): void {
    this.#queues.set(queue.name, queue);
    const queues = this.#queuesByHost.get(queue.host) ?? [];
    queues.push(queue);
    queues.sort((first, second) => second.pathPrefix.length - first.pathPrefix.length);
    this.#queuesByHost.set(queue.host, queues);
  }
}
