# Which packages are on. A package without a block, or without `enabled = true`, is off: it is not
# loaded and writes no record. The build checks this file and refuses unknown blocks and settings.

# A busy team over several shards: docs/load-spread.md
load_spread {
  enabled = false
}
