/**
 * Codec of the record that identifies a controller: the value of the keys under `now/member/` and
 * `now/share/`, and of `now/leader`.
 */
import {
  type ControllerLabel,
  controllerLabel,
  type Incarnation,
  incarnation,
} from "@umberfold/ids";
import { isMap, text } from "../protocol/cbor.js";

/** Identifies one run of a controller process: the controller's label and the run's incarnation. */
export interface ControllerId {
  readonly label: ControllerLabel;
  readonly incarnation: Incarnation;
}

/** Whether both ids are of the same run of the same controller; false if `a` is undefined. */
export const isSameController = (a: ControllerId | undefined, b: ControllerId): boolean =>
  a !== undefined && a.label === b.label && a.incarnation === b.incarnation;

/** The stored name of each field. */
const FIELD = { label: "l", incarnation: "i" } as const;

/** Returns the stored form of a controller's id. */
export const encodeControllerId = (id: ControllerId): unknown => ({
  [FIELD.label]: id.label,
  [FIELD.incarnation]: id.incarnation,
});

/** Returns undefined if the value isn't a controller's id. */
export const parseControllerId = (value: unknown): ControllerId | undefined => {
  if (!isMap(value)) return undefined;
  const label = text(value[FIELD.label]);
  const start = text(value[FIELD.incarnation]);
  return label === undefined || start === undefined
    ? undefined
    : { label: controllerLabel(label), incarnation: incarnation(start) };
};
