/** Writes lines in batches, and drops lines rather than wait or grow. */

/** How often the lines are written, in milliseconds. */
const FLUSH_MILLISECONDS = 20;
/** The most bytes that wait to be taken by the stream; what comes above is dropped and counted. */
const MOST_WAITING_BYTES = 1_000_000;

/** The most bytes of one write, unless a line is longer: what a pipe takes whole or not at all. */
const MOST_WRITTEN_BYTES = 4_096;

/** The stream that lines go to. */
export interface LineStream {
  /** Writes text. */
  write(text: string): unknown;
  /** The bytes that the stream has not passed on yet. */
  readonly writableLength: number;
}

/** A writer of lines that never blocks its caller. */
export class BoundedWriter {
  readonly #stream: LineStream;
  #lines: string[] = [];
  #bytes = 0;
  #dropped = 0;
  #timer: NodeJS.Timeout | undefined;

  private constructor(stream: LineStream) {
    this.#stream = stream;
  }

  /** Creates a writer to a stream. */
  static create(stream: LineStream): BoundedWriter {
    return new BoundedWriter(stream);
  }

  /** Adds a line, or drops it where too much waits. */
  add(line: string): void {
    if (this.#bytes + this.#stream.writableLength > MOST_WAITING_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#bytes += line.length + 1;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_MILLISECONDS);
  }

  /** Writes what waits. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#dropped > 0) {
      this.#lines.push(`event=log-lines-dropped count=${this.#dropped}`);
      this.#dropped = 0;
    }
    let text = "";
    for (const line of this.#lines) {
      if (text !== "" && text.length + line.length >= MOST_WRITTEN_BYTES) {
        this.#stream.write(text);
        text = "";
      }
      text += `${line}\n`;
    }
    if (text !== "") this.#stream.write(text);
    this.#lines = [];
    this.#bytes = 0;
  }
}
