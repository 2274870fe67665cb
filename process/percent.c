#include "process/percent.h"

#include <stdio.h>
#include <string.h>

#include "process/error.h"

int percent_encode(const char *text, bool keep_slash, char *out, size_t size)
{
	static const char unreserved[] =
		"ABCDEFGHIJKLMNOPQRSTUVWXYZ"
		"abcdefghijklmnopqrstuvwxyz0123456789-._~";
	size_t used = 0;

	for (; *text; text++) {
		if (used + 4 > size)
			return ERR_BAD_FIELD;
		if (strchr(unreserved, *text) || (keep_slash && *text == '/')) {
			out[used++] = *text;
			continue;
		}
		snprintf(out + used, 4, "%%%02X", (unsigned char)*text);
		used += 3;
	}
	out[used] = '\0';
	return 0;
}
