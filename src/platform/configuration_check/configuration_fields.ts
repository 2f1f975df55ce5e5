/** The lists and fields of a configuration, by their names in the platform's format. */

import type { ConfigurationData, Customer, Queue, Service } from "../../fleet/configuration.ts";

/** The value of a field; undefined if the field is absent. */
export type FieldValue = string | number | boolean | undefined;

/** A field with a single value. */
export interface Field<Entry> {
  /** The name in the platform's format. */
  name: string;
  /** Gets the value. */
  getValue: (entry: Entry) => FieldValue;
  /** Whether a number may have decimals. */
  mayBeFraction?: boolean;
}

/** A list of named entries in a configuration. */
export interface EntryList<Entry extends { name: string }> {
  /** The name in the platform's format. */
  name: string;
  /** Gets the entries. */
  getEntries: (data: ConfigurationData) => readonly Entry[];
  /** The fields other than the name and the keys. */
  fields: readonly Field<Entry>[];
}

/** The list of queues. */
export const QUEUE_LIST: EntryList<Queue> = {
  name: "routes",
  getEntries: (data) => data.queues,
  fields: [
    { name: "host", getValue: (queue) => queue.host },
    { name: "pathPrefix", getValue: (queue) => queue.pathPrefix },
    { name: "priority", getValue: (queue) => queue.priority },
    { name: "service", getValue: (queue) => queue.service },
    { name: "maxAttempts", getValue: (queue) => queue.attemptLimit },
    { name: "stretch", getValue: (queue) => queue.stretch, mayBeFraction: true },
    {
      name: "targetLatencyMs",
      getValue: (queue) => queue.objectiveMilliseconds,
      mayBeFraction: true,
    },
    { name: "public", getValue: (queue) => queue.isPublic },
    {
      name: "advice.decideMs",
      getValue: (queue) => queue.advice?.decideMilliseconds,
      mayBeFraction: true,
    },
    {
      name: "advice.eachMs",
      getValue: (queue) => queue.advice?.eachMilliseconds,
      mayBeFraction: true,
    },
    {
      name: "advice.validMs",
      getValue: (queue) => queue.advice?.validMilliseconds,
      mayBeFraction: true,
    },
  ],
};

/** The list of services. */
export const SERVICE_LIST: EntryList<Service> = {
  name: "services",
  getEntries: (data) => data.services,
  fields: [
    { name: "enforcesCapacity", getValue: (service) => service.isGuarded },
    { name: "spare", getValue: (service) => service.isSpare },
  ],
};

/** The list of customers. */
export const CUSTOMER_LIST: EntryList<Customer> = {
  name: "tenants",
  getEntries: (data) => data.customers,
  fields: [
    { name: "weight", getValue: (customer) => customer.weight, mayBeFraction: true },
    { name: "ceiling.cpu", getValue: (customer) => customer.ceiling.cpu },
    { name: "ceiling.memMb", getValue: (customer) => customer.ceiling.memory },
    { name: "ceiling.gpu", getValue: (customer) => customer.ceiling.accelerators },
  ],
};

/** The field with the keys of a customer. */
export const KEYS_FIELD = "apiKeys";

/** The place of the fields that belong to no list. */
export const TOP_LEVEL_PLACE = "configuration";

/** The fields that belong to no list. */
export const TOP_LEVEL_FIELDS: readonly Field<ConfigurationData>[] = [
  { name: "version", getValue: (data) => data.version },
  { name: "limits.maxBodyBytes", getValue: (data) => data.largestBodyBytes },
];

/** Formats the place of an entry by its index in a list, counted from 0. */
export function formatIndexedPlace(list: string, index: number, name: string): string {
  return `${list}[${index}] (${JSON.stringify(name)})`;
}

/** Formats the place of an entry by its name, which is the same in both versions. */
export function formatNamedPlace(list: string, name: string): string {
  return `${list} (${JSON.stringify(name)})`;
}
