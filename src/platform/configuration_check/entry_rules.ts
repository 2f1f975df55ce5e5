/** The rules for the names, queues, services and keys of a configuration. */

import type { ConfigurationData, Customer, Queue, Service } from "../../fleet/configuration.ts";
import {
  CUSTOMER_LIST,
  type EntryList,
  formatIndexedPlace,
  KEYS_FIELD,
  QUEUE_LIST,
  SERVICE_LIST,
} from "./configuration_fields.ts";
import { type Finding, FindingCode, FindingSeverity } from "./finding.ts";
import { getKeyFingerprint } from "./key_fingerprint.ts";

/** A host name as hosts look it up: the request's `Host` header without the port. */
const HOST_PATTERN = /^[^\s:/]+$/;
/** A beginning of a request path without its query. */
const PATH_PREFIX_PATTERN = /^\/[^\s?#]*$/;
/** A value that an HTTP header can carry unchanged. */
const HEADER_VALUE_PATTERN = /^[!-~]([ -~]*[!-~])?$/;

/** What queues are checked against. */
interface QueueContext {
  /** The queues. */
  queues: readonly Queue[];
  /** The index of the first queue of each address (see `getAddress`). */
  indexByAddress: ReadonlyMap<string, number>;
  /** The services by name. */
  services: ReadonlyMap<string, Service>;
  /** Whether any customer has a key. */
  hasKeys: boolean;
}

/** Finds entries that are ambiguous or can't have their effect. */
export function findEntryFindings(data: ConfigurationData): Finding[] {
  const context = createQueueContext(data);
  return [
    ...findNameFindings(data, QUEUE_LIST),
    ...findNameFindings(data, SERVICE_LIST),
    ...findNameFindings(data, CUSTOMER_LIST),
    ...data.queues.flatMap((_, index) => findQueueFindings(context, index)),
    ...findSpareServiceFindings(data),
    ...findKeyFindings(data),
  ];
}

function findNameFindings<Entry extends { name: string }>(
  data: ConfigurationData,
  list: EntryList<Entry>,
): Finding[] {
  const indexByName = new Map<string, number>();
  return list.getEntries(data).flatMap(({ name }, index): Finding[] => {
    const finding = {
      severity: FindingSeverity.Error,
      place: formatIndexedPlace(list.name, index, name),
      field: "name",
    };
    if (name === "") {
      return [{ ...finding, code: FindingCode.EmptyName, message: "the name is empty" }];
    }
    const earlier = indexByName.get(name);
    if (earlier === undefined) {
      indexByName.set(name, index);
      return [];
    }
    const message =
      `${list.name}[${earlier}] has the same name; look-ups by name get the last entry`;
    return [{ ...finding, code: FindingCode.DuplicateName, message }];
  });
}

function createQueueContext({ queues, services, customers }: ConfigurationData): QueueContext {
  const indexByAddress = new Map<string, number>();
  queues.forEach(({ host, pathPrefix }, index) => {
    const address = getAddress(host, pathPrefix);
    if (!indexByAddress.has(address)) indexByAddress.set(address, index);
  });
  return {
    queues,
    indexByAddress,
    // Of services with the same name, the last counts.
    services: new Map(services.map((service) => [service.name, service])),
    hasKeys: customers.some(({ keys }) => keys.length > 0),
  };
}

/** Gets a text that is the same for queues with the same host and prefix only. */
function getAddress(host: string, pathPrefix: string): string {
  return JSON.stringify([host, pathPrefix]);
}

function findQueueFindings(context: QueueContext, index: number): Finding[] {
  const queue = context.queues[index]!;
  const place = formatQueue(context.queues, index);
  return [
    ...findAddressFindings(queue, place),
    ...findPrefixFindings(context, index, place),
    ...findServiceFindings(context, queue, place),
    ...findAccessFindings(context, queue, place),
  ];
}

function findAddressFindings({ host, pathPrefix }: Queue, place: string): Finding[] {
  const findings: Finding[] = [];
  const finding = { code: FindingCode.UnreachableQueue, place };
  if (!HOST_PATTERN.test(host)) {
    findings.push({
      ...finding,
      severity: FindingSeverity.Error,
      field: "host",
      message: `no request matches ${JSON.stringify(host)}: expected a host name without a port`,
    });
  } else if (host !== host.toLowerCase()) {
    findings.push({
      ...finding,
      severity: FindingSeverity.Warning,
      field: "host",
      message: "host names are compared by case, and most clients send them in lower case",
    });
  }
  // An empty prefix matches every path, as "/" does.
  if (pathPrefix !== "" && !PATH_PREFIX_PATTERN.test(pathPrefix)) {
    findings.push({
      ...finding,
      severity: FindingSeverity.Error,
      field: "pathPrefix",
      message: `no request matches ${JSON.stringify(pathPrefix)}: expected a path that starts ` +
        `with "/" and has no query`,
    });
  }
  return findings;
}

function findPrefixFindings(
  { queues, indexByAddress }: QueueContext,
  index: number,
  place: string,
): Finding[] {
  const { host, pathPrefix } = queues[index]!;
  const findSibling = (prefix: string) => indexByAddress.get(getAddress(host, prefix));
  const finding = { place, field: "pathPrefix" };
  const same = findSibling(pathPrefix);
  // Every path starts with "/", so that an empty prefix is hidden as well.
  const first = same === index && pathPrefix === "" ? findSibling("/") : same;
  if (first !== index && first !== undefined) {
    return [{
      ...finding,
      code: FindingCode.HiddenQueue,
      severity: FindingSeverity.Error,
      message: `${formatQueue(queues, first)} gets every request for this host and prefix`,
    }];
  }
  if (pathPrefix === "" || pathPrefix.endsWith("/")) return [];
  const below = findSibling(pathPrefix + "/");
  if (below === undefined) return [];
  return [{
    ...finding,
    code: FindingCode.ShadowedPrefix,
    severity: FindingSeverity.Warning,
    message: `${formatQueue(queues, below)} gets every path below ${
      JSON.stringify(pathPrefix + "/")
    }`,
  }];
}

function formatQueue(queues: readonly Queue[], index: number): string {
  return formatIndexedPlace(QUEUE_LIST.name, index, queues[index]!.name);
}

function findServiceFindings(
  { services }: QueueContext,
  queue: Queue,
  place: string,
): Finding[] {
  const service = services.get(queue.service);
  const finding = { severity: FindingSeverity.Error, place, field: "service" };
  if (service === undefined) {
    const message = `there is no service ${JSON.stringify(queue.service)}`;
    return [{ ...finding, code: FindingCode.UnknownService, message }];
  }
  if (!service.isSpare) return [];
  const message = `${JSON.stringify(queue.service)} is spare: its hosts run no tasks`;
  return [{ ...finding, code: FindingCode.SpareServiceWithQueue, message }];
}

function findAccessFindings({ hasKeys }: QueueContext, queue: Queue, place: string): Finding[] {
  if (queue.isPublic || hasKeys) return [];
  return [{
    code: FindingCode.UncallableQueue,
    severity: FindingSeverity.Error,
    place,
    field: "public",
    message: "every call is refused: the queue requires a key, and no customer has one",
  }];
}

function findSpareServiceFindings(data: ConfigurationData): Finding[] {
  const first = data.services.find(({ isSpare }) => isSpare);
  return data.services.flatMap((service, index): Finding[] => {
    if (!service.isSpare || service === first) return [];
    return [{
      code: FindingCode.SeveralSpareServices,
      severity: FindingSeverity.Warning,
      place: formatIndexedPlace(SERVICE_LIST.name, index, service.name),
      field: "spare",
      message: `${JSON.stringify(first!.name)} is spare as well and gets the hosts that are freed`,
    }];
  });
}

function findKeyFindings({ customers }: ConfigurationData): Finding[] {
  const ownerByKey = new Map<string, Customer>();
  return customers.flatMap((customer, index): Finding[] => {
    const place = formatIndexedPlace(CUSTOMER_LIST.name, index, customer.name);
    if (customer.keys.length === 0) {
      const message = "the customer has no key, so it can use public queues only, anonymously";
      const severity = FindingSeverity.Warning;
      return [{ code: FindingCode.NoKeys, severity, place, field: KEYS_FIELD, message }];
    }
    return customer.keys.flatMap((key, keyIndex): Finding[] => {
      const finding = { place, field: `${KEYS_FIELD}[${keyIndex}]` };
      const owner = ownerByKey.get(key);
      ownerByKey.set(key, owner ?? customer);
      return [
        ...findHeaderFindings(key, finding),
        ...owner === undefined ? [] : [createRepetition(key, customer, owner, finding)],
      ];
    });
  });
}

function findHeaderFindings(key: string, finding: Pick<Finding, "place" | "field">): Finding[] {
  if (HEADER_VALUE_PATTERN.test(key)) return [];
  const message = key === ""
    ? "the key is empty: any caller with an empty key header is taken for this customer"
    : "an HTTP header can't carry the key: expected printable ASCII without spaces around it";
  return [{ ...finding, code: FindingCode.UnusableKey, severity: FindingSeverity.Error, message }];
}

function createRepetition(
  key: string,
  customer: Customer,
  owner: Customer,
  finding: Pick<Finding, "place" | "field">,
): Finding {
  const fingerprint = getKeyFingerprint(key);
  if (owner === customer) {
    const message = `the key ${fingerprint} is listed twice`;
    const severity = FindingSeverity.Warning;
    return { ...finding, code: FindingCode.RepeatedKey, severity, message };
  }
  return {
    ...finding,
    code: FindingCode.SharedKey,
    severity: FindingSeverity.Error,
    message: `the key ${fingerprint} belongs to ${
      JSON.stringify(owner.name)
    } as well; the last entry counts`,
  };
}
