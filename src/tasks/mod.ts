/** Tasks, their bounded mailboxes, and elapsed time. */
export { ElapsedClock, type ElapsedClockOptions } from "./elapsed_clock.ts";
export { Mailbox, type MailboxOptions } from "./mailbox.ts";
export {
  type Address,
  ask,
  DEFAULT_MAILBOX_CAPACITY,
  type Reply,
  Task,
  type TaskOptions,
} from "./task.ts";
