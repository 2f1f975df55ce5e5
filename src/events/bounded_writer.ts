/** A line writer that batches its writes and drops lines when the stream falls behind. */

/** The delay from the first buffered line to its write, in milliseconds. */
const FLUSH_DELAY_MILLISECONDS = 20;
/** The maximum of buffered bytes, here and in the stream; lines above it are dropped and counted. */
const MAXIMUM_BUFFERED_BYTES = 1_000_000;

/** The maximum size of one write with several lines: a pipe takes up to 4,096 bytes atomically. */
const MAXIMUM_WRITE_BYTES = 4_096;

/** The stream that a `BoundedWriter` writes to. */
export interface LineStream {
  /** Writes text. */
  write(text: string): unknown;
  /** The number of bytes that the stream has buffered. */
  readonly writableLength: number;
}

/** Writes lines without ever blocking the caller. */
export class BoundedWriter {
  readonly #stream: LineStream;
  #lines: string[] = [];
  #bytes = 0;
  #dropped = 0;
  #timer: NodeJS.Timeout | undefined;

  private constructor(stream: LineStream) {
    this.#stream = stream;
  }

  static create(stream: LineStream): BoundedWriter {
    return new BoundedWriter(stream);
  }

  /** Buffers a line, or drops it if the buffer is full. */
  add(line: string): void {
    if (this.#bytes + this.#stream.writableLength > MAXIMUM_BUFFERED_BYTES) {
      this.#dropped += 1;
      return;
    }
    this.#lines.push(line);
    this.#bytes += line.length + 1;
    this.#timer ??= setTimeout(() => this.flush(), FLUSH_DELAY_MILLISECONDS);
  }

  /** Writes the buffered lines, and a line with the number of dropped ones. */
  flush(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    if (this.#dropped > 0) {
      this.#lines.push(`event=log-lines-dropped count=${this.#dropped}`);
      this.#dropped = 0;
    }
    let text = "";
    for (const line of this.#lines) {
      if (text !== "" && text.length + line.length >= MAXIMUM_WRITE_BYTES) {
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
