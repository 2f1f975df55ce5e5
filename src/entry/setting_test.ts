import test from "ava";
import { ENTRY_SETTINGS } from "./entry_settings.ts";
import { formatSettingIssue, readSettings } from "./setting.ts";

test("every mistake is listed at once", (t) => {
  const result = readSettings({
    table: ENTRY_SETTINGS,
    flags: { name: "entry 1", callerAddress: "localhost:80", readInterval: "soon" },
    environment: { TANAGERPIN_ZONE: "gh-south-a", TANAGERPIN_OPERATOR_KEY: "short" },
  });
  t.snapshot(result.outcome === "mistaken" ? result.issues.map(formatSettingIssue) : result);
});

test("flags go before environment variables", (t) => {
  const address = "127.0.0.1:0";
  const result = readSettings({
    table: ENTRY_SETTINGS,
    flags: { name: "entry-1", callerAddress: address, operatorAddress: address },
    environment: {
      TANAGERPIN_NAME: "entry-2",
      TANAGERPIN_ZONE: "gh-south-a",
      TANAGERPIN_PEER_ADDRESS: "[::1]:7003",
      TANAGERPIN_PLATFORM_ADDRESS: "127.0.0.1:7100",
      TANAGERPIN_OPERATOR_KEY: "sixteen-characters",
    },
  });
  if (result.outcome === "mistaken") {
    return t.fail(result.issues.map(formatSettingIssue).join("; "));
  }
  const { name, zone, callerAddress, operatorAddress, peerAddress, platformAddress, operatorKey } =
    result.values;
  t.snapshot({
    name,
    zone,
    callerAddress,
    operatorAddress,
    peerAddress,
    platformAddress,
    operatorKey,
  });
});
