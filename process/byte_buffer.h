/**
 * @file
 * Growable byte buffer.
 *
 * Once anything was added, the bytes are followed by a NUL that `len` does not
 * count. A zero-initialized buffer is empty and ready for use.
 */
#ifndef PROCESS_BYTE_BUFFER_H
#define PROCESS_BYTE_BUFFER_H

#include <stddef.h>

typedef struct byte_buffer {
	char *bytes; /**< NULL until something was added. */
	size_t len;
	size_t size; /**< Allocated bytes. */
} byte_buffer_t;

/**
 * Appends bytes; with `len` 0 it only ensures the terminating NUL.
 * @return 0 or ERR_NO_MEMORY, which leaves the buffer unchanged
 */
int byte_buffer_add(byte_buffer_t *buffer, const char *bytes, size_t len);

/** Appends formatted text; returns as byte_buffer_add(). */
__attribute__((format(printf, 2, 3))) int
byte_buffer_print(byte_buffer_t *buffer, const char *format, ...);

/** Frees the bytes and leaves an empty buffer. */
void byte_buffer_free(byte_buffer_t *buffer);

#endif
