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

/** Entry point that libFuzzer calls for each input. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/** Called once before the first input, if a target has it. */
int LLVMFuzzerInitialize(int *argc, char ***argv);

/** Ends the run as a finding if a property does not hold. */
#define FUZZ_CHECK(holds)                                              \
	do {                                                           \
		if (!(holds)) {                                        \
			fprintf(stderr, "%s:%d: property fails: %s\n", \
				__FILE__, __LINE__, #holds);           \
			abort();                                       \
		}                                                      \
	} while (0)

#endif
