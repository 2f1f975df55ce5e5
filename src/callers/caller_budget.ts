/** Decides which requests of callers are read, and which connections are closed instead. */

import { CallerAccount } from "./caller_account.ts";
import type { CallerLimits } from "./caller_limits.ts";

/** The limit that a decision follows from, as named in logs and metrics. */
export const CallerLimit = {
  Connections: "connections",
  ConnectionsPerAddress: "connections-per-address",
  OpenRequests: "open-requests",
  OpenRequestsPerAddress: "open-requests-per-address",
  OpenRequestsPerConnection: "open-requests-per-connection",
  HeldBytes: "held-bytes",
  HeldBytesPerAddress: "held-bytes-per-address",
  HeldBytesPerConnection: "held-bytes-per-connection",
  IdleTime: "idle-time",
  UnreadTime: "unread-time",
} as const;
export type CallerLimit = typeof CallerLimit[keyof typeof CallerLimit];

/** What is done with a connection that has received bytes. */
export const ReadDecision = {
  /** Reads on. */
  Read: "read",
  /** Stops reading until one of its own requests is answered. */
  WaitForOwn: "wait-for-own",
  /** Stops reading until any request is answered. */
  WaitForAny: "wait-for-any",
} as const;
export type ReadDecision = typeof ReadDecision[keyof typeof ReadDecision];

/** A connection that is to be closed. */
export interface Closing {
  account: CallerAccount;
  limit: CallerLimit;
}

/** The connections and requests that a process or an address has. */
interface Totals {
  connections: number;
  openRequests: number;
  heldBytes: number;
}

/** One of the values of `Totals`, its maximum, and the connections that it counts. */
interface Scope {
  limit: CallerLimit;
  maximum: number;
  totals: Totals;
  address: string | undefined;
}

/** How long a connection may have sent nothing until others go first, in milliseconds. */
const FIRST_REQUEST_MILLISECONDS = 500;
/** The open requests of a connection that may be closed for those of others. */
const MINIMUM_CLOSED_REQUESTS = 2;

/** Options of a `CallerBudget`. */
export interface CallerBudgetOptions {
  limits: CallerLimits;
  /** Called when a limit refuses, delays or closes something. */
  onLimit: (limit: CallerLimit, account: CallerAccount) => void;
}

/** Counts what each connection, each address and the process hold. */
export class CallerBudget {
  readonly #options: CallerBudgetOptions;
  readonly #accounts = new Set<CallerAccount>();
  readonly #totals: Totals = { connections: 0, openRequests: 0, heldBytes: 0 };
  readonly #totalsByAddress = new Map<string, Totals>();
  #lastNumber = 0;

  private constructor(options: CallerBudgetOptions) {
    this.#options = options;
  }

  static create(options: CallerBudgetOptions): CallerBudget {
    return new CallerBudget(options);
  }

  /** Gets what all connections hold. */
  getTotals(): Readonly<Totals> {
    return this.#totals;
  }

  /**
   * Opens the account of a new connection; the connections in `closing` make room for it. It is
   * refused if the account is undefined.
   */
  open(
    address: string,
    now: number,
  ): { account: CallerAccount | undefined; closing: readonly Closing[] } {
    this.#lastNumber += 1;
    const account = CallerAccount.create({ number: this.#lastNumber, address, now });
    const { connections, connectionsPerAddress } = this.#options.limits;
    const scopes = this.#getScopes(address, [
      [CallerLimit.ConnectionsPerAddress, connectionsPerAddress],
      [CallerLimit.Connections, connections],
    ]);
    const closing: Closing[] = [];
    for (const scope of scopes) {
      if (scope.totals.connections < scope.maximum) continue;
      const victim = this.#findLeastUsed(scope.address, now);
      this.#options.onLimit(scope.limit, victim ?? account);
      if (victim === undefined) return { account: undefined, closing };
      this.close(victim);
      closing.push({ account: victim, limit: scope.limit });
    }
    this.#accounts.add(account);
    this.#add(account, "connections", 1);
    return { account, closing };
  }

  /** Closes an account, and releases all that it holds. */
  close(account: CallerAccount): void {
    if (account.isClosed) return;
    account.isClosed = true;
    this.#accounts.delete(account);
    this.#add(account, "connections", -1);
    this.#add(account, "openRequests", -account.openRequests);
    this.#add(account, "heldBytes", -account.heldBytes);
    account.openRequests = 0;
    account.unreadRequests = 0;
    account.heldBytes = 0;
    if (this.#totalsByAddress.get(account.address)?.connections === 0) {
      this.#totalsByAddress.delete(account.address);
    }
  }

  /** Counts a request whose head was read. */
  startRequest(account: CallerAccount): void {
    if (account.isClosed) return;
    account.hasRequested = true;
    account.openRequests += 1;
    account.unreadRequests += 1;
    this.#add(account, "openRequests", 1);
  }

  /** Records that a request was read to its end. */
  endReading(account: CallerAccount): void {
    if (!account.isClosed) account.unreadRequests -= 1;
  }

  /** Counts a request no longer, since its answer was sent or its connection closed. */
  finishRequest(account: CallerAccount, now: number): void {
    if (account.isClosed) return;
    account.activeAt = now;
    account.openRequests -= 1;
    this.#add(account, "openRequests", -1);
  }

  /** Decides whether a connection is read on; those in `closing` make room for it. */
  decideReading(
    account: CallerAccount,
    now: number,
  ): { decision: ReadDecision; closing: readonly Closing[] } {
    const { limits, onLimit } = this.#options;
    const wait = (limit: CallerLimit, decision: ReadDecision) => {
      onLimit(limit, account);
      return { decision, closing: [] };
    };
    const { openRequests, unreadRequests } = account;
    // The only request of a connection is read to its end.
    if (openRequests === 1 && unreadRequests === 1) {
      return { decision: ReadDecision.Read, closing: [] };
    }
    if (openRequests >= limits.openRequestsPerConnection) {
      return wait(CallerLimit.OpenRequestsPerConnection, ReadDecision.WaitForOwn);
    }
    if (openRequests > 0 && account.heldBytes >= limits.heldBytesPerConnection) {
      return wait(CallerLimit.HeldBytesPerConnection, ReadDecision.WaitForOwn);
    }
    const scopes = this.#getScopes(account.address, [
      [CallerLimit.OpenRequestsPerAddress, limits.openRequestsPerAddress],
      [CallerLimit.OpenRequests, limits.openRequests],
    ]);
    const closing: Closing[] = [];
    for (const scope of scopes) {
      if (scope.totals.openRequests < scope.maximum) continue;
      if (openRequests > 0) {
        onLimit(scope.limit, account);
        return { decision: ReadDecision.WaitForOwn, closing };
      }
      const victim = this.#findHeaviest(scope.address, now, MINIMUM_CLOSED_REQUESTS);
      onLimit(scope.limit, victim ?? account);
      if (victim === undefined) return { decision: ReadDecision.WaitForAny, closing };
      this.close(victim);
      closing.push({ account: victim, limit: scope.limit });
    }
    return { decision: ReadDecision.Read, closing };
  }

  /**
   * Counts bytes for a connection. The connections in `closing` make room for them; if it holds the
   * most itself, the bytes are refused by a limit and not counted.
   */
  hold(
    account: CallerAccount,
    bytes: number,
    now: number,
  ): { refusedBy: CallerLimit | undefined; closing: readonly Closing[] } {
    const { limits, onLimit } = this.#options;
    const closing: Closing[] = [];
    if (account.isClosed) return { refusedBy: CallerLimit.HeldBytes, closing };
    account.activeAt = now;
    const scopes = this.#getScopes(account.address, [
      [CallerLimit.HeldBytesPerAddress, limits.heldBytesPerAddress],
      [CallerLimit.HeldBytes, limits.heldBytes],
    ]);
    for (const scope of scopes) {
      while (scope.totals.heldBytes + bytes > scope.maximum) {
        const victim = this.#findHeaviest(scope.address, now, 0);
        const holdsMost = victim === undefined || victim === account ||
          victim.heldBytes === 0 ||
          account.getWeight(now) + bytes >= victim.getWeight(now);
        onLimit(scope.limit, holdsMost ? account : victim);
        if (holdsMost) return { refusedBy: scope.limit, closing };
        this.close(victim);
        closing.push({ account: victim, limit: scope.limit });
      }
    }
    account.heldBytes += bytes;
    this.#add(account, "heldBytes", bytes);
    return { refusedBy: undefined, closing };
  }

  /** Counts bytes no longer. */
  release(account: CallerAccount, bytes: number): void {
    if (account.isClosed) return;
    account.heldBytes -= bytes;
    this.#add(account, "heldBytes", -bytes);
  }

  /** Closes connections that have been idle for too long before their first request. */
  closeSilent(now: number): Closing[] {
    const closing: Closing[] = [];
    for (const account of this.#accounts) {
      if (account.hasRequested || !account.isIdle()) continue;
      if (now - account.activeAt < this.#options.limits.idleMilliseconds) continue;
      this.#options.onLimit(CallerLimit.IdleTime, account);
      this.close(account);
      closing.push({ account, limit: CallerLimit.IdleTime });
    }
    return closing;
  }

  /** Records that a connection is closed since its client does not read its answers. */
  recordUnread(account: CallerAccount): void {
    this.#options.onLimit(CallerLimit.UnreadTime, account);
    this.close(account);
  }

  /** Finds the connection that holds the most, of these the newest. */
  #findHeaviest(
    address: string | undefined,
    now: number,
    minimumRequests: number,
  ): CallerAccount | undefined {
    let heaviest: CallerAccount | undefined;
    let weight = 0;
    for (const account of this.#accounts) {
      if (address !== undefined && account.address !== address) continue;
      if (account.openRequests < minimumRequests) continue;
      const accountWeight = account.getWeight(now);
      // Accounts are in the order of their numbers, so the last of equal ones is the newest.
      if (accountWeight < weight || accountWeight === 0) continue;
      heaviest = account;
      weight = accountWeight;
    }
    return heaviest;
  }

  /**
   * Finds the connection that makes room for a new one: one that has sent no request for a while, then
   * one that holds more than a request, then one that has been idle the longest.
   */
  #findLeastUsed(address: string | undefined, now: number): CallerAccount | undefined {
    let idlest: CallerAccount | undefined;
    for (const account of this.#accounts) {
      if (address !== undefined && account.address !== address) continue;
      if (!account.isIdle()) continue;
      const isSilent = !account.hasRequested;
      if (isSilent && now - account.activeAt > FIRST_REQUEST_MILLISECONDS) return account;
      if (isSilent) continue;
      if (idlest === undefined || account.activeAt < idlest.activeAt) idlest = account;
    }
    return this.#findHeaviest(address, now, MINIMUM_CLOSED_REQUESTS) ?? idlest;
  }

  #getScopes(
    address: string,
    [perAddress, perProcess]: readonly [
      readonly [CallerLimit, number],
      readonly [CallerLimit, number],
    ],
  ): readonly Scope[] {
    const totals = this.#totalsByAddress.get(address) ?? NOTHING;
    return [
      { limit: perAddress[0], maximum: perAddress[1], totals, address },
      { limit: perProcess[0], maximum: perProcess[1], totals: this.#totals, address: undefined },
    ];
  }

  #add(account: CallerAccount, name: keyof Totals, amount: number): void {
    let totals = this.#totalsByAddress.get(account.address);
    if (totals === undefined) {
      totals = { ...NOTHING };
      this.#totalsByAddress.set(account.address, totals);
    }
    totals[name] += amount;
    this.#totals[name] += amount;
  }
}

const NOTHING: Readonly<Totals> = { connections: 0, openRequests: 0, heldBytes: 0 };
