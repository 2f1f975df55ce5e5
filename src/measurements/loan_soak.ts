/** The soak `loans`: limits and permits under random faults. */

import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { LoanModel, type LoanModelEvent } from "./loan_model.ts";
import type { Soak, SoakRunOptions, SoakRunResult } from "./soak.ts";

/** The most events of one run. */
const MOST_EVENTS = 20;

/** The longest time between two events, in milliseconds of the model. */
const LONGEST_GAP_MILLISECONDS = 2_500;

/** The longest fault, in milliseconds of the model. */
const LONGEST_FAULT_MILLISECONDS = 8_000;

type Draw = (from: number, to: number) => number;

/** The soak `loans`. */
export const LOAN_SOAK: Soak = { name: "loans", run: runLoanSoak };

function runLoanSoak(options: SoakRunOptions): SoakRunResult {
  const generator = xoroshiro128plus(options.seed);
  const draw: Draw = (from, to) => uniformInt(generator, from, to);
  const events = Array.from({ length: draw(0, MOST_EVENTS) }, () => ({
    after: draw(20, LONGEST_GAP_MILLISECONDS),
    event: drawEvent(draw),
  }));
  const result = LoanModel.run({ seed: options.seed, members: draw(2, 8), events });
  const { violations: broken, starts, messages } = result;
  return { violation: broken[0], counts: { starts, messages, events: events.length } };
}

function drawEvent(draw: Draw): LoanModelEvent {
  const member = draw(0, 9);
  const milliseconds = draw(100, LONGEST_FAULT_MILLISECONDS);
  const events: LoanModelEvent[] = [
    { kind: "crash", member },
    { kind: "remove", member },
    { kind: "join" },
    { kind: "pause", member, milliseconds },
    { kind: "cut-log", member, milliseconds },
    { kind: "cut-link", from: member, to: draw(0, 9), milliseconds },
    { kind: "limit", limit: draw(0, 6) },
    { kind: "move", pool: draw(0, 3) },
  ];
  return events[draw(0, events.length - 1)]!;
}
