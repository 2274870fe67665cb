/**
 * @file
 * Common parts of the libFuzzer targets, t/fuzz-*.c.
 */
#ifndef T_LIB_FUZZ_H
#define T_LIB_FUZZ_H

#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>

/** Called by libFuzzer for each input. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/** Called by libFuzzer before the first input; optional. */
int LLVMFuzzerInitialize(int *argc, char ***argv);

/** Aborts if a condition is false, which libFuzzer reports as a crash. */
#define FUZZ_CHECK(condition)                                          \
	do {                                                           \
		if (!(condition)) {                                    \
			fprintf(stderr, "%s:%d: property fails: %s\n", \
				__FILE__, __LINE__, #condition);       \
			abort();                                       \
		}                                                      \
	} while (0)

#endif
