#!/bin/bash
# Builds what the scripts of review/6 to review/10 start, apart from the programs
# of the deploy file: the platform's stand-in, the cases' own peers, and those of the
# earlier review that case 10 uses.
cd "$(dirname "$0")/.." || exit 2
set -e
make -s -j4 build/bin/standin-platform
mkdir -p build/review-2
CFLAGS="-std=gnu11 -D_GNU_SOURCE -O2 -g -Wall -Wextra -I."
gcc $CFLAGS -o build/review-2/free_ports review/lib-2/free_ports.c
gcc $CFLAGS -o build/review-2/prompt_server review/lib-2/prompt_server.c -lpthread
for source in review/[0-9]*/case_*.c; do
	name=$(basename "$source" .c)
	gcc $CFLAGS -o "build/review-2/$name" "$source" review/lib-2/peer.c \
		-lpthread
done
mkdir -p target/review
for name in call relay load; do
	gcc $CFLAGS -o target/review/$name review/standins/$name.c -lpthread
done
