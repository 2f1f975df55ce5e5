/** The findings of a configuration check. */

/** How serious a finding is. */
export const FindingSeverity = {
  /** The hosts would refuse the configuration, or an entry in it could never have its effect. */
  Error: "error",
  /** The configuration works, but possibly not as it was meant. */
  Warning: "warning",
  /** A difference from the version in force. */
  Change: "change",
} as const;
/** One of the severities. */
export type FindingSeverity = typeof FindingSeverity[keyof typeof FindingSeverity];

/** The kind of a finding. */
export const FindingCode = {
  /** The file is not JSON. */
  InvalidJson: "invalid-json",
  /** A field is missing or has the wrong type: the hosts keep the version in force. */
  InvalidField: "invalid-field",
  /** The version to compare with can't be decoded. */
  InvalidComparison: "invalid-comparison",
  /** The version is not above the version in force: the hosts ignore the configuration. */
  VersionNotHigher: "version-not-higher",
  /** A name is empty. */
  EmptyName: "empty-name",
  /** Two entries of a kind have the same name. */
  DuplicateName: "duplicate-name",
  /** No request can have the host name or the path prefix of a queue. */
  UnreachableQueue: "unreachable-queue",
  /** Another queue of the same host gets every request for a queue's path prefix. */
  HiddenQueue: "hidden-queue",
  /** Another queue of the same host takes the paths below a prefix without a final slash. */
  ShadowedPrefix: "shadowed-prefix",
  /** A queue's service doesn't exist. */
  UnknownService: "unknown-service",
  /** A queue's service is the spare pool, whose hosts are powered off. */
  SpareServiceWithQueue: "spare-service-with-queue",
  /** There is more than one spare pool. */
  SeveralSpareServices: "several-spare-services",
  /** A queue requires a key, and no customer has one. */
  UncallableQueue: "uncallable-queue",
  /** A customer has no key. */
  NoKeys: "no-keys",
  /** No request can carry a key, or every caller knows it. */
  UnusableKey: "unusable-key",
  /** A key is listed twice for one customer. */
  RepeatedKey: "repeated-key",
  /** A key belongs to two customers. */
  SharedKey: "shared-key",
  /** An amount is negative, or not an integer where one is expected. */
  InvalidAmount: "invalid-amount",
  /** A customer has a weight of 0, and so no share. */
  NoWeight: "no-weight",
  /** A queue's number of attempts is 0. */
  NoAttempts: "no-attempts",
  /** A queue's objective counts less than the duration of the critical path. */
  LowStretch: "low-stretch",
  /** A ceiling is below the smallest usual task. */
  LowCeiling: "low-ceiling",
  /** A ceiling limits one resource but not another. */
  PartialCeiling: "partial-ceiling",
  /** The body limit is below the smallest job. */
  LowBodyLimit: "low-body-limit",
  /** An entry or a key is new. */
  Added: "added",
  /** An entry or a key is gone. */
  Removed: "removed",
  /** A field has another value. */
  Changed: "changed",
} as const;
/** One of the kinds of findings. */
export type FindingCode = typeof FindingCode[keyof typeof FindingCode];

/** A finding of a check. */
export interface Finding {
  /** The kind. */
  code: FindingCode;
  /** The severity. */
  severity: FindingSeverity;
  /** The entry, for example `routes[2] ("clinics")`. */
  place: string;
  /** The field of the entry, if the finding concerns one. */
  field?: string | undefined;
  /** The explanation. */
  message: string;
}

/** Counts the findings of a severity. */
export function countFindings(findings: readonly Finding[], severity: FindingSeverity): number {
  return findings.filter((finding) => finding.severity === severity).length;
}
