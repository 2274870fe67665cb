/**
 * @file
 * Escaping of text in URLs (RFC 3986).
 */
#ifndef PROCESS_PERCENT_H
#define PROCESS_PERCENT_H

#include <stdbool.h>
#include <stddef.h>

enum {
	/** Longest encoding of one byte, bytes. */
	PERCENT_ENCODED_MAX_BYTES = 3,
};

/**
 * Escapes all but the unreserved characters.
 * @param keep_slash for use in a path
 * @return 0, or ERR_BAD_FIELD if the result does not fit
 */
int percent_encode(const char *text, bool keep_slash, char *out, size_t size);

#endif
