/** A pause of the process that runs a test. */

/** Blocks this process, as a paused machine would. */
export function pauseProcess(milliseconds: number): void {
  Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, milliseconds);
}
