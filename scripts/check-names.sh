#!/usr/bin/env bash
# Fails if a Go file outside platform/ contains a name of the platform's protocols.
# These names are encoded and decoded in one place, the adapter. Tests are not
# checked.
set -euo pipefail
cd "$(dirname "$0")/.."
names='(^|[^-A-Za-z])Currantford-[A-Z]|(^|[^a-z])/currantford/|Kv-|kv-(move|pin|handle|events|list)|path-prefix|max-attempts|can-resume|slo-ms|timeout-ms|max-wait-s|single-version|min-version|target-groups|next-token|current-rev|allow-stale|wait-ms|max-conns|health-path|max-body-bytes|max-header-bytes|idle-timeout-ms|header-timeout-ms|port-range|value-bytes|ttl-s|cold-left-ms|num-(waiting|running)|kv-(used|total|capacity)|X-Api-Key|api-keys|"tenants?"'
found=$(git ls-files --cached --others --exclude-standard '*.go' | grep -v -e '^platform/' -e '_test\.go$' | xargs grep -nE "$names" || true)
if [ -n "$found" ]; then
  echo "names of the platform's protocols outside platform/:" >&2
  echo "$found" >&2
  exit 1
fi
