/** Assertions of internal invariants. A violation is a defect in the program, never bad input. */

export class InvariantViolation extends Error {
  public readonly kind = 'invariantViolation';
}

/** Throws `InvariantViolation` if `condition` is false. */
export function assert(condition: boolean, message: string): asserts condition {
  if (!condition) throw new InvariantViolation(message);
}

/** Default case of an exhaustive `switch` over a union: a missing case is a compile-time error. */
export function assertNever(value: never): never {
  throw new InvariantViolation(`Unexpected value: ${JSON.stringify(value)}`);
}
