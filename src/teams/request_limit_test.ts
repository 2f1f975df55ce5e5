import test from "ava";
import fc from "fast-check";
import { createLoanCatalog, getTeamResource } from "../contracts/loans/loan_resource.ts";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";

const SEED = 17;
const TEAM = "mine-desk";

const limitsArbitrary = fc.record({ upperLimit: fc.nat(40), taskLimit: fc.nat(40) });
const publicationsArbitrary = fc.array(
  fc.tuple(fc.constantFrom("tides", "night"), limitsArbitrary),
  {
    minLength: 1,
  },
);

test("the limits of requests and of tasks never add up to more than the team's upper limit", (t) => {
  fc.assert(
    fc.property(publicationsArbitrary, (published) => {
      const records = published.map(([profile, limits], offset) => ({
        offset,
        id: `r${offset}`,
        kind: "profile-published",
        version: 1,
        author: "operator",
        body: { profile, teams: [{ team: TEAM, share: 1, ...limits }] },
      }));
      const { fleet, judged } = foldRecords(Fleet.createEmpty(), records, RECORD_RULES);
      const latestUpperLimits = new Map<string, number>();
      for (const [index, { verdict }] of judged.entries()) {
        const [profile, limits] = published[index]!;
        t.is(verdict.outcome === "accepted", limits.taskLimit <= limits.upperLimit);
        if (verdict.outcome === "accepted") latestUpperLimits.set(profile, limits.upperLimit);
      }
      if (latestUpperLimits.size === 0) return;
      const requests = createLoanCatalog(fleet).resources.get(getTeamResource(TEAM))!.limit;
      const tasks = fleet.getTeam(TEAM)!.getTaskLimit();
      t.true(requests >= 0 && requests + tasks <= Math.min(...latestUpperLimits.values()));
    }),
    { seed: SEED, numRuns: 500 },
  );
});
