/** How records of one kind enter and leave the replica. */
import type { Revision } from "@umberfold/ids";
import type { Versioned } from "./versioned.js";

/** What a record of one kind changes; `name` is what follows the kind's prefix in the key. */
export interface RecordHandler {
  readonly put: (name: string, value: unknown, rev: Revision, key: string) => void;
  readonly drop: (name: string, key: string) => void;
}

/** Puts a parsed record into a map; an unreadable value (undefined) counts as no record. */
export const putParsed = <K, V>(
  map: Map<K, Versioned<V>>,
  key: K,
  value: V | undefined,
  rev: Revision,
): void => {
  if (value === undefined) map.delete(key);
  else map.set(key, { value, rev });
};

/** The handler of records that change nothing but a map of them. */
export const mapHandler = <K, V>(
  map: Map<K, Versioned<V>>,
  keyOf: (name: string) => K,
  parse: (value: unknown) => V | undefined,
): RecordHandler => ({
  put: (name, value, rev) => putParsed(map, keyOf(name), parse(value), rev),
  drop: (name) => map.delete(keyOf(name)),
});
