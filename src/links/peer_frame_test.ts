import test from "ava";
import fc from "fast-check";
import {
  encodePeerFrame,
  MAXIMUM_FRAME_BYTES,
  PeerFrameDecoder,
  PeerFrameError,
} from "./peer_frame.ts";
import type { PeerMessage } from "./peer_message.ts";

const SEED = 7;

const MESSAGES: PeerMessage[] = [
  { kind: "hello", memberId: "entry-1-0000", to: "entry-2-0000" },
  {
    kind: "heartbeat",
    offset: 12,
    rosterOffset: 9,
    sequence: 70_000,
    echo: -1,
    ageMilliseconds: 65_535,
    isBlind: true,
    unheard: [0, 7],
  },
  {
    kind: "records-relayed",
    records: [{ offset: 3, id: "r", kind: "k", version: 1, author: "a", body: { zone: "z" } }],
  },
];

test("messages pass whole however the bytes are cut", (t) => {
  const bytes = Buffer.concat(MESSAGES.map((message) => encodePeerFrame(message)));
  fc.assert(
    fc.property(fc.array(fc.nat(bytes.length)), (cuts) => {
      const reader = PeerFrameDecoder.create({ peer: "test" });
      const edges = [0, ...cuts.sort((a, b) => a - b), bytes.length];
      const read = edges.slice(1).flatMap((edge, index) =>
        reader.decode(Buffer.from(bytes.subarray(edges[index], edge)))
      );
      t.deepEqual(read, MESSAGES);
    }),
    { seed: SEED },
  );
});

test("an oversized or malformed frame is an error that names step and peer", (t) => {
  const oversized = Buffer.alloc(4);
  oversized.writeUInt32BE(MAXIMUM_FRAME_BYTES + 1);
  const unknown = encodePeerFrame({ kind: "unheard" } as unknown as PeerMessage);
  const errors = [oversized, unknown].map((bytes) => {
    const reader = PeerFrameDecoder.create({ peer: "127.0.0.1:9" });
    const error = t.throws(() => reader.decode(bytes), { instanceOf: PeerFrameError });
    return { message: error.message, step: error.step, peer: error.peer };
  });
  t.snapshot(errors);
});

test("mutated frames give messages or a frame error, and nothing else", (t) => {
  const frame = encodePeerFrame(MESSAGES[2]!);
  fc.assert(
    fc.property(fc.nat(frame.length - 1), fc.nat(255), (index, value) => {
      const mutated = Buffer.from(frame);
      mutated[index] = value;
      try {
        PeerFrameDecoder.create({ peer: "test" }).decode(mutated);
        t.pass();
      } catch (error) {
        t.true(error instanceof PeerFrameError);
      }
    }),
    { seed: SEED, numRuns: 2_000 },
  );
});
