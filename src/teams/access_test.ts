import test from "ava";
import { RECORD_RULES } from "../entry/record_rules.ts";
import { Fleet } from "../records/fleet.ts";
import { foldRecords } from "../records/fold.ts";
import { decideAccess } from "./access.ts";
import { hashSecret } from "./key_secret.ts";

const SECRET = "a-secret-of-enough-characters";

const BODIES: [kind: string, body: unknown][] = [
  ["profile-published", {
    profile: "keyed",
    teams: [{ team: "hotel-osu", share: 1, upperLimit: 2 }],
  }],
  ["profile-published", {
    profile: "open",
    isOpenQueue: true,
    teams: [{ team: "open", share: 1, upperLimit: 2 }],
  }],
  ["profile-picked", { service: "hotels", profile: "keyed" }],
  ["profile-picked", { service: "pricing", profile: "open" }],
  ["key-granted", { keyId: "osu", team: "hotel-osu", secretHash: hashSecret(SECRET) }],
  ["key-granted", { keyId: "old", team: "hotel-osu", secretHash: hashSecret(SECRET) }],
  ["key-granted", { keyId: "other", team: "clinic", secretHash: hashSecret(SECRET) }],
  ["key-withdrawn", { keyId: "old" }],
];

const RECORDS = BODIES.map(([kind, body], offset) => ({
  offset,
  id: `r${offset}`,
  kind,
  version: 1,
  author: "operator",
  body,
}));

test("a request is authorized for the team of the key that it presents, and for no other", (t) => {
  const { fleet } = foldRecords(Fleet.createEmpty(), RECORDS, RECORD_RULES);
  const attempts: [service: string, presentedKey: string | undefined][] = [
    ["hotels", `osu.${SECRET}`],
    ["hotels", undefined],
    ["hotels", `osu.${SECRET}x`],
    ["hotels", `unknown.${SECRET}`],
    ["hotels", "not a key"],
    ["hotels", `old.${SECRET}`],
    ["hotels", `other.${SECRET}`],
    ["pricing", undefined],
    ["pricing", `osu.${SECRET}`],
    ["nothing", `osu.${SECRET}`],
  ];
  t.snapshot(attempts.map(([service, presentedKey]) => {
    const decision = decideAccess({ fleet, service, presentedKey });
    const result = decision.outcome === "granted"
      ? decision.access.rights.team
      : `${decision.refusal.reason}, ${decision.refusal.outcome}`;
    return `${service} ${presentedKey ?? "no key"}: ${result}`;
  }));
});
