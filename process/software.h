/**
 * @file
 * Versions of the software of endpoints, as numbers. A stream may go on only at
 * an endpoint with the version that began it. Versions have no order.
 */
#ifndef PROCESS_SOFTWARE_H
#define PROCESS_SOFTWARE_H

#include <stdint.h>

#include "process/hash.h"

/** The version is not known, or the request may be sent to any. */
#define SOFTWARE_UNKNOWN 0U

/** Number of a version; never SOFTWARE_UNKNOWN. */
static inline uint32_t software_number(const char *name)
{
	uint32_t number = (uint32_t)hash_string(name);

	return number ? number : 1;
}

#endif
