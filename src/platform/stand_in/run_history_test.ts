import test from "ava";
import { RunEnd } from "../../fleet/run.ts";
import type { ModelEnd, ModelRun } from "./executor_model.ts";
import { RunHistory } from "./run_history.ts";

const TASK = "j.0.0.0";
const EARLIER = "i-1/1";
const LATER = "i-1/2";
const OTHER = "i-2/1";

const run = (number: number): ModelRun => ({
  task: TASK,
  run: number,
  startedAt: 0,
  plan: { durationMilliseconds: 0, end: RunEnd.Done },
});

const end = (number: number, isLeaseExpiredSince = false): ModelEnd => ({
  number: 1,
  task: TASK,
  run: number,
  end: RunEnd.Done,
  isLeaseExpiredSince,
});

const COURSES: Record<string, (history: RunHistory) => void> = {
  "two runs at once": (history) => {
    history.addStart(EARLIER, run(1));
    history.addStart(OTHER, run(2));
  },
  "a start after the loss of a run": (history) => {
    history.addStart(EARLIER, run(1));
    history.addLoss(EARLIER);
    history.addStart(LATER, run(2));
  },
  "a start after an end that is lost": (history) => {
    history.addStart(EARLIER, run(1));
    history.addEnd(EARLIER, run(1), RunEnd.Done);
    history.addLoss(EARLIER);
    history.addStart(LATER, run(2));
    history.addEnd(LATER, run(2), RunEnd.Done);
    history.addAcknowledgement(LATER, end(2));
  },
  "a start after an acknowledged end": (history) => {
    history.addStart(EARLIER, run(1));
    history.addEnd(EARLIER, run(1), RunEnd.Done);
    history.addAcknowledgement(EARLIER, end(1));
    history.addStart(OTHER, run(2));
  },
  "a start after an end that is acknowledged later": (history) => {
    history.addStart(EARLIER, run(1));
    history.addEnd(EARLIER, run(1), RunEnd.Done);
    history.addStart(OTHER, run(2));
    history.addAcknowledgement(EARLIER, end(1));
  },
  "a start after an end whose lease expired before the acknowledgement": (history) => {
    history.addStart(EARLIER, run(1));
    history.addEnd(EARLIER, run(1), RunEnd.Done);
    history.addAcknowledgement(EARLIER, end(1, true));
    history.addStart(OTHER, run(2));
  },
  "a start after an end that was not done": (history) => {
    history.addStart(EARLIER, run(1));
    history.addEnd(EARLIER, run(1), RunEnd.Stopped);
    history.addAcknowledgement(EARLIER, { ...end(1), end: RunEnd.Stopped });
    history.addStart(OTHER, run(2));
  },
};

// Guards against repetitions that the soak does not find, and against findings that are allowed.
test("the history finds exactly the starts that repeat a run or follow an acknowledged end", (t) => {
  const found = Object.entries(COURSES).map(([name, play]) => {
    const history = RunHistory.create();
    play(history);
    return [name, history.violations.length];
  });
  t.deepEqual(Object.fromEntries(found), {
    "two runs at once": 1,
    "a start after the loss of a run": 0,
    "a start after an end that is lost": 0,
    "a start after an acknowledged end": 1,
    "a start after an end that is acknowledged later": 1,
    "a start after an end whose lease expired before the acknowledgement": 0,
    "a start after an end that was not done": 0,
  });
});
