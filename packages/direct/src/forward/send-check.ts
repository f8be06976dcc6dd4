/** Interface by which an exchange asks whether its request is still sent. */

/** Decides whether an exchange sends its request once it is connected. */
export abstract class SendCheck {
  /** True if what has arrived is to be read before the request is judged. */
  abstract readonly isLate: boolean;

  /** Waits until what has arrived has been read. */
  abstract waitForReads(): Promise<void>;

  /** Returns whether the request is sent. */
  abstract isWanted(): boolean;
}
