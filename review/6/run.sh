#!/usr/bin/env bash
# A public route of the whole host is added: see claim.txt.
exec "$(dirname "$0")/../cases-2/run-case.sh" 6 case_public_route
