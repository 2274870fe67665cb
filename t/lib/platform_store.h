/**
 * @file
 * Stand-in for the platform's store of objects: lists, watches and conditional
 * writes, with outages for all or for one kind of call.
 */
#ifndef T_LIB_PLATFORM_STORE_H
#define T_LIB_PLATFORM_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct platform_store platform_store_t;

platform_store_t *platform_store_start(void);
void platform_store_stop(platform_store_t *store);
uint16_t platform_store_port(const platform_store_t *store);

/** Writes an object as the operator or an endpoint does; takes `spec`. */
void platform_store_put(platform_store_t *store, const char *kind,
			const char *name, json_t *spec);
void platform_store_remove(platform_store_t *store, const char *kind,
			   const char *name);

/** Content of an object with a reference; NULL if there is none. */
json_t *platform_store_get(platform_store_t *store, const char *kind,
			   const char *name);

/** Answers 503 to every call from now on, and cuts waiting watches. */
void platform_store_set_down(platform_store_t *store, bool down);

/** Calls that were answered since the start. */
uint32_t platform_store_calls(platform_store_t *store);

#endif
