import test from "ava";
import { explainRequest } from "./explain_request.ts";

const LOG = [
  "time=2026-01-01T00:00:03.000Z event=task-start request=a1 task=a1.0.0.0 executor=i-2 waited=1900",
  "time=2026-01-01T00:00:01.000Z event=job-accepted request=a1 queue=r-1 customer=mine",
  "time=2026-01-01T00:00:02.900Z event=run-lost request=a1 task=a1.0.0.0 executor=i-1 reason=x",
  "time=2026-01-01T00:00:02.000Z event=take-over-done epoch=2 jobs=1",
  "time=2026-01-01T00:00:09.000Z event=take-over-done epoch=3 jobs=1",
  'time=2026-01-01T00:00:05.000Z event=job-end request=a1 outcome=completed reason="all done" age=4000',
  "time=2026-01-01T00:00:06.000Z event=job-end request=a2 outcome=completed reason=x age=1",
  'time=2026-01-01T00:00:07.000Z event=call-answered request=b1 call=submit outcome=unavailable reason="the store does not answer" version=4 epoch=2',
  "time=2026-01-01T00:00:08.000Z event=call-answered request=b1 call=state outcome=unknown-job version=4 epoch=2",
  "a line of another program",
];

test("a job or a call is traced through the event logs of all hosts", (t) => {
  t.snapshot(["a1", "b1", "c1"].map((id) => explainRequest(id, LOG)));
});
