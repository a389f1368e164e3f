#!/bin/bash
exec "$(dirname "$0")/../run-case.sh" bad-report "review/3"
