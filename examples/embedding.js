/** Embeds the fold and the decision of access, without HTTP, the command line or the stand-ins. */

import { decideAccess, Fleet, foldRecords, RECORD_RULES } from "tanagerpin";

const records = [
  ["profile-published", {
    profile: "tides",
    isOpenQueue: true,
    teams: [{ team: "open", share: 1, upperLimit: 8 }],
  }],
  ["profile-picked", { service: "tugdesk", profile: "tides" }],
  ["profile-picked", { service: "berthbook", profile: "moon" }],
].map(([kind, body], offset) => ({
  offset,
  id: `record-${offset}`,
  kind,
  version: 1,
  author: "embedding",
  body,
}));

const { fleet, judged } = foldRecords(Fleet.createEmpty(), records, RECORD_RULES);
for (const { record, verdict } of judged) {
  console.log(
    `offset ${record.offset}: ${record.kind} ${verdict.outcome} ${verdict.reason}`.trim(),
  );
}
for (const service of ["tugdesk", "berthbook"]) {
  const decision = decideAccess({ fleet, service, presentedKey: undefined });
  console.log(`${service}: ${decision.outcome}`);
}
