/** The kinds of faults of a soak. */
export const SoakFault = {
  Stop: "stops",
  StopOfAllHosts: "stops of all hosts",
  Kill: "kills",
  Pause: "pauses",
  Reload: "reloads",
  ExecutorRestart: "executor restarts",
  SilentExecutorRestart: "silent executor restarts",
  QueueMove: "moves of the queue",
  RouteChange: "changes of routes",
  StoreOutage: "outages of the store",
  LateOrders: "late orders",
  LinkCut: "cuts of links",
  StoreLoss: "losses at the store",
  Compaction: "compactions",
  PowerLoss: "losses of power",
  ExecutorReplacement: "replacements of executors",
  AddressTakeOver: "take-overs of addresses",
} as const;
export type SoakFault = typeof SoakFault[keyof typeof SoakFault];
