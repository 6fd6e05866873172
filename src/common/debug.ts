/** Internal invariants. A failed one is a defect of the program, never bad input. */

/** Thrown when an internal invariant does not hold. */
export class InvariantViolation extends Error {
  public readonly kind = 'invariantViolation';
}

/** Throws when `condition` does not hold. */
export function assert(condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantViolation(message);
}

/** Closes a `switch` over a union; the compiler rejects it while a case is missing. */
export function assertNever(value: never): never {
  throw new InvariantViolation(`Unexpected value: ${JSON.stringify(value)}`);
}
