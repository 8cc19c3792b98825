#!/bin/bash
cd "$(dirname "$0")" && exec timeout 110 node case.mjs
