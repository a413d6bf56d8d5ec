#!/bin/bash
# Builds the stand-ins that the review's scripts start: the project's stand-in of
# the platform, and the small ones of this folder.
set -e
cd "$(dirname "$0")/.."
make -s -j4 build/bin/standin-platform
mkdir -p target/review
for name in call relay load server pipeline; do
	gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE \
		-o target/review/$name review/standins/$name.c -lpthread
done
# The project's stand-in of the platform, with a store that has drills.
gcc -std=gnu11 -O2 -g -Wall -Wextra -Werror -D_GNU_SOURCE -I. \
	-o target/review/drill-platform review/standins/drill_store.c \
	build/tests/standins/standin-platform.o build/tests/standins/shapes.o \
	build/tests/standins/conn.o build/libmangohead.a -lhttp_parser \
	-ljansson -lsodium -lprotobuf-c -lxxhash -lurcu-bp -lurcu-common \
	-lpthread
