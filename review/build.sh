#!/bin/sh
# Builds the programs of the cases, with all stand-ins that they start, into target/review.
# The build of the deploy file comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for main in review/[1-5]/main.go; do
	folder=$(dirname "$main")
	go build -o "target/review/$(basename "$folder")" "./$folder"
done
