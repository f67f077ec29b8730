#!/usr/bin/env bash
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../stand/run_case"
