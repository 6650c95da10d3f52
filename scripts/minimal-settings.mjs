/**
 * A minimal settings file, for controllers that serve no requests: those of the build and of
 * measurements. Checkouts of older versions must accept it too, so it leaves out all settings that
 * were added later.
 */

/** Returns the text of the file. Each address consists of host and port. */
export const minimalSettings = ({ label, front, internal, cloud, state }) => `label = "${label}"
area = "${label}"
front = "${front}"
internal_addr = "${internal}"
[services]
cloud = "${cloud}"
state = "${state}"
[params]
size = 1
zones = ["${label}"]
[params.workers]
report_s = 3.0
lease_s = 20.0
cancel_s = 40.0
[params.state]
rps = 100.0
write_rps = 50.0
value_kb = 8.0
txn_ops = 16
[params.cloud]
rps = 1.0
[params.resources]
`;
