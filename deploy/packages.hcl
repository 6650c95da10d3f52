# Enables packages. A package without a block, or without `enabled = true`, is disabled: it is not
# loaded and writes no records. The build validates this file and refuses unknown blocks and
# settings.

# Spreads the jobs of a busy team over several shards: docs/load-spread.md
load_spread {
  enabled = false
}
