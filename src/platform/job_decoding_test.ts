import test from "ava";
import { CallKind } from "../front/call.ts";
import { decodeOwnerRequest, encodeOwnerMessage } from "../front/call_frame.ts";
import { FRAME_HEADER_BYTES } from "../links/frame.ts";
import { decodeJob } from "./job_decoding.ts";

// Guards against a job that this host takes and the owner's host can't read, which breaks their link.
test("each job that callers may hand in can be read by the owner's host", (t) => {
  const step = { count: 2, cpu: 500 };
  const jobs: Record<string, Record<string, unknown>> = {
    "plain": {},
    "part of a task for each executor": { antiAffinity: 1.5 },
    "a negative budget": { mayMiss: -1 },
    "a negative bound": { targetMs: -5 },
    "many labels": { constraints: ["a", "b"] },
  };
  const results = Object.entries(jobs).map(([name, fields]) => {
    const specification = decodeJob({ taskSpec: "", steps: [{ ...step, ...fields }] });
    if (typeof specification === "string") return [name, specification];
    const call = {
      kind: CallKind.Submit,
      host: "h",
      path: "/00000000000000a1",
      jobId: "00000000000000a1",
      version: 1,
      queue: "tugs",
      customer: "",
      specification,
    };
    const body = encodeOwnerMessage({ number: 1, call }).subarray(FRAME_HEADER_BYTES);
    return [name, decodeOwnerRequest(body) === undefined ? "not readable" : "readable"];
  });
  t.snapshot(Object.fromEntries(results));
});
