import test from "ava";
import fc from "fast-check";
import { OccurrenceSet } from "./occurrence_set.ts";

// Guards against completed occurrences that are forgotten or made up when ranges are joined.
test("a set of ranges has the numbers that were added, in as few ranges as possible", (t) => {
  const range = fc.record({
    first: fc.nat({ max: 60 }),
    count: fc.nat({ max: 5 }),
  });
  const check = (ranges: readonly { first: number; count: number }[]) => {
    const set = OccurrenceSet.create();
    const expected = new Set<number>();
    for (const { first, count } of ranges) {
      set.addRange(first, count);
      for (let number = first; number < first + count; number += 1) expected.add(number);
    }
    const listed = [...set.getRanges()].flatMap(([first, count]) =>
      Array.from({ length: count }, (_, index) => first + index)
    );
    t.deepEqual(listed, [...expected].sort((first, second) => first - second));
    t.is(set.size, expected.size);
    for (let number = 0; number < 70; number += 1) {
      t.is(set.has(number), expected.has(number));
      let missing = number;
      while (expected.has(missing)) missing += 1;
      t.is(set.findMissing(number), missing);
    }
    const starts = listed.filter((number) => !expected.has(number - 1));
    t.is([...set.getRanges()].length, starts.length);
  };
  fc.assert(
    fc.property(fc.array(range, { maxLength: 30 }), check),
    { seed: 55, numRuns: 200 },
  );
});
