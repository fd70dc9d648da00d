#!/bin/sh
exec "$(dirname "$0")/../standins/run.sh" 1 silent
