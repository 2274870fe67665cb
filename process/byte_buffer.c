#include "process/byte_buffer.h"

#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/error.h"

/** First allocation, bytes: fits an HTTP header without cookies and most events
 * of a stream. */
#define START_BYTES 512

static int grow(byte_buffer_t *buffer, size_t needed)
{
	size_t size = buffer->size ? buffer->size : START_BYTES;
	char *grown;

	while (size < needed)
		size *= 2;
	grown = realloc(buffer->bytes, size);
	if (!grown)
		return ERR_NO_MEMORY;
	buffer->bytes = grown;
	buffer->size = size;
	return 0;
}

int byte_buffer_add(byte_buffer_t *buffer, const char *bytes, size_t len)
{
	if (len >= SIZE_MAX / 2 - buffer->len)
		return ERR_NO_MEMORY;
	if (buffer->len + len + 1 > buffer->size) {
		int err = grow(buffer, buffer->len + len + 1);

		if (err)
			return err;
	}
	if (len)
		memcpy(buffer->bytes + buffer->len, bytes, len);
	buffer->len += len;
	buffer->bytes[buffer->len] = '\0';
	return 0;
}

int byte_buffer_print(byte_buffer_t *buffer, const char *format, ...)
{
	char *text = NULL;
	va_list args;
	int len;
	int err;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	if (len < 0)
		return ERR_NO_MEMORY;
	err = byte_buffer_add(buffer, text, (size_t)len);
	free(text);
	return err;
}

void byte_buffer_free(byte_buffer_t *buffer)
{
	free(buffer->bytes);
	*buffer = (byte_buffer_t){ 0 };
}
