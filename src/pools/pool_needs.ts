/** Computes the hosts that the pools of services have and need, from the fleet and the recorded demand. */

import { HostKind, HostState } from "../machines/host_data.ts";
import type { Service } from "../profiles/service.ts";
import type { Fleet } from "../records/fleet.ts";
import type { PoolNeed } from "./move_decision.ts";
import type { PoolDemands } from "./pool_demands.ts";
import { getTargetHosts } from "./pool_size.ts";

/** Gets whether there is a spare pool. */
export function hasSparePool(fleet: Fleet): boolean {
  return fleet.getServices().some((service) => getSettings(service).isSparePool);
}

/** Gets the hosts that the pools have and need. Only executors count, since requests cause the demand. */
export function createPoolNeeds(fleet: Fleet, demands: PoolDemands): PoolNeed[] {
  const arriving = countArriving(fleet);
  return fleet.getServices().map((service) => createNeed(service, demands, arriving));
}

function createNeed(
  service: Service,
  demands: PoolDemands,
  arriving: ReadonlyMap<string, number>,
): PoolNeed {
  const pool = service.getPool();
  const settings = getSettings(service);
  const executors = pool.getHosts().filter((host) => host.isExecutor());
  const schedulable = executors.filter((host) => host.isSchedulable());
  const slots = schedulable.reduce((sum, host) => sum + host.getData().slots, 0);
  const isZoneOut = executors.some((host) => host.getZone().isOut());
  return {
    pool: pool.getName(),
    settings,
    targetHosts: getTargetHosts({
      settings,
      neededSlots: demands.getQuantile(pool.getName(), settings.demandQuantile),
      slotsPerHost: Math.max(1, slots / Math.max(1, schedulable.length)),
      zones: new Set(schedulable.map((host) => host.getZoneName())).size,
      isZoneOut,
    }),
    hosts: schedulable.map((host) => ({ host: host.getName(), zone: host.getZoneName() })),
    arrivingHosts: arriving.get(pool.getName()) ?? 0,
    isZoneOut,
  };
}

/** Counts the executors that are being moved to each pool. */
function countArriving(fleet: Fleet): Map<string, number> {
  const counts = new Map<string, number>();
  for (const host of fleet.tables.hosts.values()) {
    if (host.kind !== HostKind.Executor || host.state === HostState.Serving) continue;
    const pool = host.state === HostState.Joining ? host.pool : host.drain?.destination;
    if (pool !== undefined) counts.set(pool, (counts.get(pool) ?? 0) + 1);
  }
  return counts;
}

function getSettings(service: Service) {
  return service.getProfile().getData().capacity;
}
