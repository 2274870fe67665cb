/**
 * @file
 * Place of an instance among the live ones, by which instances divide work
 * without messages.
 */
#ifndef PROCESS_INSTANCE_PLACE_H
#define PROCESS_INSTANCE_PLACE_H

#include <stdint.h>

typedef struct instance_place {
	uint32_t rank;	    /**< Position in the order of names, from 0. */
	uint32_t instances; /**< Live ones; at least 1. */
} instance_place_t;

#endif
