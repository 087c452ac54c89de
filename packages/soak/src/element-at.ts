/** The element at an index that must exist. */
export const elementAt = <Value>(values: readonly Value[], index: number): Value => {
  const value = values[index];
  if (value === undefined) {
    throw new Error(`no element at index ${String(index)}`);
  }
  return value;
};
