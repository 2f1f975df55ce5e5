import test from "ava";
import { AnswerTimeout } from "./answer_timeout.ts";

/** Makes calls whose answers take so long, in milliseconds, and gets the time-out of each. */
function call(answers: readonly (number | "lost")[]): string[] {
  const timeout = AnswerTimeout.create();
  return answers.map((answer) => {
    const milliseconds = timeout.getMilliseconds();
    const isAnswered = answer !== "lost" && answer <= milliseconds;
    if (isAnswered) timeout.addAnswer(answer);
    else timeout.addSilence();
    return `${milliseconds} ms: ${isAnswered ? `answered after ${answer}` : "no answer"}`;
  });
}

test("a lost answer is asked for again soon, and a slow platform is waited for", (t) => {
  t.snapshot({
    "two of five answers are lost": call([8, "lost", 9, "lost", "lost", 8, 8]),
    "the platform turns slow, and well again": call([8, 380, 380, 380, 380, 380, 8, 8, 8, 8]),
    "the platform is silent": call([8, ...Array<"lost">(7).fill("lost"), 8, 8]),
  });
});
