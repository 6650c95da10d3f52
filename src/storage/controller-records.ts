/**
 * The record that names a controller: the value of `now/member/`, `now/share/` and `now/leader`.
 */
import {
  type ControllerLabel,
  controllerLabel,
  type Incarnation,
  incarnation,
} from "@umberfold/ids";
import { isMap, text } from "../protocol/cbor.js";

/** The controller that a record names: its label, and the one start of its process under it. */
export interface ControllerId {
  readonly label: ControllerLabel;
  readonly incarnation: Incarnation;
}

/** Whether both are the same start of the same controller; an absent record names nobody. */
export const isSameController = (a: ControllerId | undefined, b: ControllerId): boolean =>
  a !== undefined && a.label === b.label && a.incarnation === b.incarnation;

/** The stored name of each field. */
const FIELD = { label: "l", incarnation: "i" } as const;

/** The stored form of a controller's id. */
export const encodeControllerId = (id: ControllerId): unknown => ({
  [FIELD.label]: id.label,
  [FIELD.incarnation]: id.incarnation,
});

/** Undefined if the value is no controller's id. */
export const parseControllerId = (value: unknown): ControllerId | undefined => {
  if (!isMap(value)) return undefined;
  const label = text(value[FIELD.label]);
  const start = text(value[FIELD.incarnation]);
  return label === undefined || start === undefined
    ? undefined
    : { label: controllerLabel(label), incarnation: incarnation(start) };
};
