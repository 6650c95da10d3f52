/** How the replica applies changes of the records of one kind. */
import type { Revision } from "@umberfold/ids";
import type { Versioned } from "./versioned.js";

/** Applies a written or deleted record; `name` is the part of the key after the kind's prefix. */
export interface RecordHandler {
  readonly put: (name: string, value: unknown, rev: Revision, key: string) => void;
  readonly drop: (name: string, key: string) => void;
}

/** Stores a parsed record in a map, or deletes its entry if the value was invalid (undefined). */
export const putParsed = <K, V>(
  map: Map<K, Versioned<V>>,
  key: K,
  value: V | undefined,
  rev: Revision,
): void => {
  if (value === undefined) map.delete(key);
  else map.set(key, { value, rev });
};

/** Returns a handler for a kind whose records are only kept in a map. */
export const mapHandler = <K, V>(
  map: Map<K, Versioned<V>>,
  keyOf: (name: string) => K,
  parse: (value: unknown) => V | undefined,
): RecordHandler => ({
  put: (name, value, rev) => putParsed(map, keyOf(name), parse(value), rev),
  drop: (name) => map.delete(keyOf(name)),
});
