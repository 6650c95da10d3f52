/**
 * The least that a settings file needs, for controllers that serve nobody: those of the build and of
 * measurements. A checkout of any age must accept it, so settings that came later stay out.
 */

/** The file's text; each address is host and port. */
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
